package org.wingstall.relay.pool;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
 * Frees results that are no longer needed, many in a call: through the coordinator of their pieces, which tracks the
 * result capacity, or else directly at their endpoints. Confined to the request loop.
 */
final class ResultFreer {
    private static final Logger LOG = LogManager.getLogger(ResultFreer.class);

    /**
     * Time over which results to free are collected into one call, in ms; short compared with the shortest call, 150
     * ms.
     */
    private static final long BATCH_DELAY_MS = 10;

    /** Timeout of a call, in ms; a result that is not freed expires at its endpoint after some seconds. */
    private static final long TIMEOUT_MS = 1000;

    private final EventLoop loop;
    private final HttpClient client;
    private final EndpointProtocol endpointProtocol;
    private final PieceLinks links;
    private final ResultCapacityTracker capacity;
    private final Predicate<InetSocketAddress> rateLimited;
    private final Map<ResultLocation, List<String>> pending = new HashMap<>();

    /** The endpoint that stores results, and the coordinator of their pieces; null for this box. */
    private record ResultLocation(InetSocketAddress endpointAddress, String coordinator) {
        // Written out like hashCode: the generated methods of a record are made at its first use, which takes several
        // ms.
        @Override
        public boolean equals(Object other) {
            return other instanceof ResultLocation that
                    && endpointAddress.equals(that.endpointAddress)
                    && Objects.equals(coordinator, that.coordinator);
        }

        @Override
        public int hashCode() {
            return endpointAddress.hashCode();
        }
    }

    /**
     * Creates a freer.
     *
     * @param loop the request loop
     * @param client HTTP client
     * @param protocol encodes calls to endpoints
     * @param links links to coordinators
     * @param capacity free result capacity of the endpoints
     * @param rateLimited whether an endpoint advertises a limit, and so is not called
     */
    ResultFreer(
            EventLoop loop,
            HttpClient client,
            EndpointProtocol protocol,
            PieceLinks links,
            ResultCapacityTracker capacity,
            Predicate<InetSocketAddress> rateLimited) {
        this.rateLimited = rateLimited;
        this.loop = loop;
        this.client = client;
        this.endpointProtocol = protocol;
        this.links = links;
        this.capacity = capacity;
    }

    void free(PieceOutcome outcome) {
        if (outcome.endpointAddress() != null) {
            add(
                    new ResultLocation(outcome.endpointAddress(), outcome.coordinator()),
                    outcome.result().handle());
        }
    }

    /** Frees results that a peer no longer needs. */
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
        Map<ResultLocation, List<String>> batch = Map.copyOf(pending);
        pending.clear();
        batch.forEach((holder, handles) -> {
            if (holder.coordinator() == null || !links.tellFreed(holder.coordinator(), encode(holder, handles))) {
                freeAtEndpoint(holder.endpointAddress(), handles);
            }
        });
    }

    private static StageFreed encode(ResultLocation holder, List<String> handles) {
        return new StageFreed(Addresses.format(holder.endpointAddress()), handles);
    }

    private void freeAtEndpoint(InetSocketAddress endpoint, List<String> handles) {
        if (rateLimited.test(endpoint)) {
            // The results expire at the endpoint, and count as used capacity until then.
            return;
        }
        client.call(loop, endpointProtocol.free(endpoint, handles), TIMEOUT_MS)
                .whenCompleteAsync(
                        (reply, failure) -> {
                            handles.forEach(capacity::freed);
                            if (failure != null) {
                                LogEvent.debug("results-not-freed")
                                        .with("maker", endpoint)
                                        .with("results", handles.size())
                                        .cause(failure)
                                        .to(LOG);
                            }
                        },
                        loop);
    }
}
