package org.wingstall.relay.endpoint;

import java.util.Locale;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.wire.AdvertisedLimit;
import org.wingstall.relay.wire.EndpointStatement;
import org.wingstall.relay.wire.ResponseHead;

/**
 * Applies what endpoints state about themselves in responses of any kind. Confined to the request loop.
 *
 * <p>{@code reader.read(endpoint, head, sentMs, Carrier.REQUEST);}
 *
 * @since 0.9
 */
public final class StatementReader {
    private static final Logger LOG = LogManager.getLogger(StatementReader.class);

    private final AdvertisedLimits limits;
    private final RelayEndpoints endpoints;
    private final RelayMetrics metrics;
    private final RejectionGuard rejections;

    /** The kind of call whose response carries a statement. */
    public enum Carrier {
        /** A caller's request. */
        REQUEST,
        /** A call for pieces of stages. */
        PIECES,
        /** A state query. */
        STATE_QUERY;

        /** Returns the kind as named in log lines. */
        String code() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * Creates a reader.
     *
     * @param limits records the limits that endpoints advertise
     * @param endpoints marks endpoints as leaving
     * @param metrics counts the statements
     * @param rejections records rejections of brittle endpoints
     */
    public StatementReader(
            AdvertisedLimits limits, RelayEndpoints endpoints, RelayMetrics metrics, RejectionGuard rejections) {
        this.limits = limits;
        this.endpoints = endpoints;
        this.metrics = metrics;
        this.rejections = rejections;
    }

    /**
     * Returns whether an endpoint advertises a limit or takes no requests from this box at present, so that nothing
     * but callers' requests may be sent to it.
     */
    public boolean limited(RelayEndpoint endpoint) {
        return limits.isLimited(endpoint.key()) || endpoint.closedForMs() > 0;
    }

    /**
     * Applies what the response to a request or a call for pieces states.
     *
     * @param endpoint the endpoint that the request was sent to
     * @param head head of the response
     * @param sentMs when the request was sent, in ms of the monotonic clock
     * @param carrier kind of the request
     */
    public void read(RelayEndpoint endpoint, ResponseHead head, long sentMs, Carrier carrier) {
        read(endpoint, head, carrier);
        if (!head.otherIncarnation()) {
            rejections.record(endpoint, head);
        }
        boolean unlimited = head.statement().limit().kind() == AdvertisedLimit.Kind.NONE;
        // A response without a limit counts only when the endpoint executed the request, which shows that it can take
        // it.
        if (unlimited && !head.otherIncarnation() && !head.notExecuted()) {
            limits.notAdvertised(endpoint.key(), sentMs);
        }
    }

    /**
     * Applies what a response of any kind states. Another endpoint process at the same address speaks for itself only,
     * so its response is ignored.
     */
    void read(RelayEndpoint endpoint, ResponseHead head, Carrier carrier) {
        if (head.otherIncarnation()) {
            return;
        }
        EndpointStatement statement = head.statement();
        statement.load().ifPresent(endpoint.state()::recordReportedLoad);
        statement.slowdown().ifPresent(endpoint::recordStatedSlowdown);
        switch (statement.limit().kind()) {
            case RATE -> limits.advertised(endpoint.key(), statement.limit().requestsPerSecond());
            case UNREADABLE -> limits.advertisedUnreadable(endpoint.key());
            case NONE -> {
                // Only the response to executed work shows that the endpoint takes more.
            }
        }
        if (statement.maxRejectionsPerSecond().isPresent()) {
            metrics.recordStatement("brittle");
        }
        if (statement.leaving()) {
            recordLeaving(endpoint, carrier);
        }
        statement.retryAfterMs().ifPresent(durationMs -> recordRetryAfter(endpoint, durationMs, carrier));
    }

    private void recordLeaving(RelayEndpoint endpoint, Carrier carrier) {
        metrics.recordStatement("leaving");
        endpoints.markLeaving(endpoint, "response to " + carrier.code());
    }

    private void recordRetryAfter(RelayEndpoint endpoint, long durationMs, Carrier carrier) {
        metrics.recordStatement("retry-after");
        endpoint.closeFor(durationMs);
        LogEvent.info("endpoint-retry-after")
                .with("endpoint", endpoint.id())
                .with("service", endpoint.identity().service())
                .with("forMs", durationMs)
                .with("carrier", carrier.code())
                .to(LOG);
    }
}
