package org.wingstall.relay.pool;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.log.LogEvent;
import org.wingstall.peer.PieceLinks;
import org.wingstall.relay.wire.EndpointProtocol;
import org.wingstall.schema.peer.StageFreed;

/**
 * Gives results up, many in a call: by way of the box that gathered their pieces, since it counts the room, else at their
 * makers. Confined to the request loop.
 */
final class ResultFreer {
    private static final Logger LOG = LogManager.getLogger(ResultFreer.class);

    /** Time for which results to give up are gathered, in ms; short against the 150 ms of the shortest call. */
    private static final long BATCH_DELAY_MS = 10;

    /** Longest wait for the answer, in ms; a result that stays is dropped by its maker after some seconds. */
    private static final long TIMEOUT_MS = 1000;

    private final EventLoop loop;
    private final HttpClient client;
    private final EndpointProtocol endpointProtocol;
    private final PieceLinks links;
    private final ResultCapacityTracker capacity;
    private final Predicate<InetSocketAddress> rateLimited;
    private final Map<ResultLocation, List<String>> pending = new HashMap<>();

    /** Where results lie, and the box to tell; null for this one. */
    private record ResultLocation(InetSocketAddress endpointAddress, String coordinator) {}

    /**
     * Creates a freer.
     *
     * @param loop the request loop
     * @param client HTTP client
     * @param wire how endpoints are spoken to
     * @param links links to the boxes that gather pieces
     * @param ledger room for results
     * @param spared whether a maker is not called, since it states a limit
     */
    ResultFreer(
            EventLoop loop,
            HttpClient client,
            EndpointProtocol wire,
            PieceLinks links,
            ResultCapacityTracker ledger,
            Predicate<InetSocketAddress> spared) {
        this.rateLimited = spared;
        this.loop = loop;
        this.client = client;
        this.endpointProtocol = wire;
        this.links = links;
        this.capacity = ledger;
    }

    void free(PieceOutcome made) {
        if (made.endpointAddress() != null) {
            add(
                    new ResultLocation(made.endpointAddress(), made.coordinator()),
                    made.result().handle());
        }
    }

    /** Gives up what a peer has no use for any more. */
    void free(StageFreed freed) {
        ResultLocation holder = new ResultLocation(Addresses.parse(freed.getMaker()), null);
        freed.getHandles().forEach(handle -> add(holder, handle));
    }

    private void add(ResultLocation holder, String handle) {
        if (pending.isEmpty()) {
            loop.schedule(this::send, BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        pending.computeIfAbsent(holder, key -> new ArrayList<>()).add(handle);
    }

    private void send() {
        Map<ResultLocation, List<String>> now = Map.copyOf(pending);
        pending.clear();
        now.forEach((holder, handles) -> {
            if (holder.coordinator() == null || !links.tellFreed(holder.coordinator(), encode(holder, handles))) {
                freeAtEndpoint(holder.endpointAddress(), handles);
            }
        });
    }

    private static StageFreed encode(ResultLocation holder, List<String> handles) {
        return new StageFreed(Addresses.format(holder.endpointAddress()), handles);
    }

    private void freeAtEndpoint(InetSocketAddress maker, List<String> handles) {
        if (rateLimited.test(maker)) {
            // The results lapse by themselves, and the room stays counted until then.
            return;
        }
        client.call(loop, endpointProtocol.free(maker, handles), TIMEOUT_MS)
                .whenCompleteAsync(
                        (reply, failure) -> {
                            handles.forEach(capacity::freed);
                            if (failure != null) {
                                LogEvent.debug("results-not-freed")
                                        .with("maker", maker)
                                        .with("results", handles.size())
                                        .cause(failure)
                                        .to(LOG);
                            }
                        },
                        loop);
    }
}
