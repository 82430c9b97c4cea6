package org.wingstall.relay.config;

import java.util.List;

/**
 * Rules for the requests of one host and path prefix: where they are sent and how.
 *
 * <p>{@code Route route = config.findRoute("canteen.example", "/orders/1").orElseThrow();}
 *
 * @param name name in the configuration
 * @param host host that the request names
 * @param pathPrefix start of the path, with a slash at both ends
 * @param kind kind of request
 * @param resumable whether a stream may be resumed at another endpoint
 * @param keyOptional whether requests need no API key
 * @param maxAttempts maximum attempts at sending one request
 * @param timeoutMs longest time that a request may take, in ms
 * @param targetMs latency target of the response, or of the first event of a stream, in ms
 * @param rank order among routes; 0 goes first
 * @param serviceShares services that the requests are split over, by weight
 * @param stages work that is done before the request itself can run
 * @param regionRestriction regions in which its requests may run
 * @since 0.2
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        Kind kind,
        boolean resumable,
        boolean keyOptional,
        int maxAttempts,
        long timeoutMs,
        long targetMs,
        int rank,
        List<ServiceShare> serviceShares,
        List<StageSpec> stages,
        RegionRestriction regionRestriction) {
    /** Kinds of request. */
    public enum Kind {
        /** May run more than once. */
        IDEMPOTENT,
        /** Runs at most once. */
        NON_IDEMPOTENT,
        /** Has an event stream as its response. */
        STREAM
    }

    /**
     * The share of a route's requests that a service gets.
     *
     * @param service the service
     * @param weight its share, relative to the others
     */
    public record ServiceShare(String service, double weight) {}

    /** Returns whether a request may be sent again, from its start or from the last event that was received. */
    public boolean retryable() {
        return kind == Kind.IDEMPOTENT || resumable && streamed();
    }

    /** Returns whether the response is an event stream. */
    public boolean streamed() {
        return kind == Kind.STREAM;
    }

    /** Selects the service of a request by a random number in [0, 1). */
    public String selectService(double random) {
        double sum = 0;
        for (ServiceShare share : serviceShares) {
            sum += share.weight();
        }
        double left = random * sum;
        for (ServiceShare share : serviceShares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return serviceShares.get(serviceShares.size() - 1).service();
    }
}
