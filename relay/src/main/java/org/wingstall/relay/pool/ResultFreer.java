package org.wingstall.relay.pool;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.wire.EndpointWire;

/** Gives results up at their makers, many in a call; room for results is short. Confined to the request loop. */
final class ResultFreer {
    private static final Logger LOG = LogManager.getLogger(ResultFreer.class);

    /** Time for which results to give up are gathered, in ms; short against the 150 ms of the shortest call. */
    private static final long GATHER_MS = 10;

    /** Longest wait for the answer, in ms; a result that stays is dropped by its maker after some seconds. */
    private static final long TIMEOUT_MS = 1000;

    private final EventLoop loop;
    private final HttpClient client;
    private final EndpointWire wire;
    private final Map<InetSocketAddress, List<String>> gathered = new HashMap<>();

    ResultFreer(EventLoop loop, HttpClient client, EndpointWire wire) {
        this.loop = loop;
        this.client = client;
        this.wire = wire;
    }

    void free(MadePiece made) {
        if (made.maker() == null) {
            return;
        }
        if (gathered.isEmpty()) {
            loop.schedule(this::send, GATHER_MS, TimeUnit.MILLISECONDS);
        }
        gathered.computeIfAbsent(made.maker(), maker -> new ArrayList<>())
                .add(made.result().handle());
    }

    private void send() {
        Map<InetSocketAddress, List<String>> now = Map.copyOf(gathered);
        gathered.clear();
        now.forEach((maker, handles) -> client.call(loop, wire.free(maker, handles), TIMEOUT_MS)
                .whenComplete((reply, failure) -> {
                    if (failure != null) {
                        LogEvent.debug("results-not-freed")
                                .with("maker", maker)
                                .with("results", handles.size())
                                .cause(failure)
                                .to(LOG);
                    }
                }));
    }
}
