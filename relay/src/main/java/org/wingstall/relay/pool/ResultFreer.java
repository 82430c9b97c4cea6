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
import org.wingstall.relay.wire.EndpointWire;
import org.wingstall.schema.peer.StageFreed;

/**
 * Gives results up, many in a call: by way of the box that gathered their pieces, since it counts the room, else at their
 * makers. Confined to the request loop.
 */
final class ResultFreer {
    private static final Logger LOG = LogManager.getLogger(ResultFreer.class);

    /** Time for which results to give up are gathered, in ms; short against the 150 ms of the shortest call. */
    private static final long GATHER_MS = 10;

    /** Longest wait for the answer, in ms; a result that stays is dropped by its maker after some seconds. */
    private static final long TIMEOUT_MS = 1000;

    private final EventLoop loop;
    private final HttpClient client;
    private final EndpointWire wire;
    private final PieceLinks links;
    private final RoomLedger ledger;
    private final Predicate<InetSocketAddress> spared;
    private final Map<Holder, List<String>> gathered = new HashMap<>();

    /** Where results lie, and the box to tell; null for this one. */
    private record Holder(InetSocketAddress maker, String gatherer) {}

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
            EndpointWire wire,
            PieceLinks links,
            RoomLedger ledger,
            Predicate<InetSocketAddress> spared) {
        this.spared = spared;
        this.loop = loop;
        this.client = client;
        this.wire = wire;
        this.links = links;
        this.ledger = ledger;
    }

    void free(MadePiece made) {
        if (made.maker() != null) {
            add(new Holder(made.maker(), made.gatherer()), made.result().handle());
        }
    }

    /** Gives up what a peer has no use for any more. */
    void free(StageFreed freed) {
        Holder holder = new Holder(Addresses.parse(freed.getMaker()), null);
        freed.getHandles().forEach(handle -> add(holder, handle));
    }

    private void add(Holder holder, String handle) {
        if (gathered.isEmpty()) {
            loop.schedule(this::send, GATHER_MS, TimeUnit.MILLISECONDS);
        }
        gathered.computeIfAbsent(holder, key -> new ArrayList<>()).add(handle);
    }

    private void send() {
        Map<Holder, List<String>> now = Map.copyOf(gathered);
        gathered.clear();
        now.forEach((holder, handles) -> {
            if (holder.gatherer() == null || !links.tellFreed(holder.gatherer(), encode(holder, handles))) {
                freeAtMaker(holder.maker(), handles);
            }
        });
    }

    private static StageFreed encode(Holder holder, List<String> handles) {
        return new StageFreed(Addresses.format(holder.maker()), handles);
    }

    private void freeAtMaker(InetSocketAddress maker, List<String> handles) {
        if (spared.test(maker)) {
            // The results lapse by themselves, and the room stays counted until then.
            return;
        }
        client.call(loop, wire.free(maker, handles), TIMEOUT_MS)
                .whenCompleteAsync(
                        (reply, failure) -> {
                            handles.forEach(ledger::freed);
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
