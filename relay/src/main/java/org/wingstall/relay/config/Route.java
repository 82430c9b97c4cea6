package org.wingstall.relay.config;

import java.util.List;

/**
 * Where requests of one host and path go, and what holds for them.
 *
 * <p>{@code Route route = config.routeOf("canteen.example", "/orders/1").orElseThrow();}
 *
 * @param name name in the configuration
 * @param host host that the request names
 * @param pathPrefix start of the path, with a slash at both ends
 * @param kind what kind of answer the endpoint gives
 * @param resumable whether a stream may be taken up at another endpoint
 * @param open whether no key is needed
 * @param maxAttempts most endpoints that one request is sent to
 * @param timeoutMs longest time that a request may take, in ms
 * @param targetMs time within which an answer, or the first event of a stream, is wanted, in ms
 * @param rank order among routes; 0 goes first
 * @param split services that take the requests, by weight
 * @param stages work that is done before the request itself can run
 * @param homes regions that its requests are bound to
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
        /** Is answered by a series of events. */
        STREAM
    }

    /**
     * A service's part of a route's requests.
     *
     * @param service the service
     * @param weight its part, relative to the others
     */
    public record ServiceShare(String service, double weight) {}

    /** Returns whether a request may run more than once, from its start or from the last event that came. */
    public boolean retryable() {
        return kind == Kind.IDEMPOTENT || resumable && streamed();
    }

    /** Returns whether the answer is a series of events. */
    public boolean streamed() {
        return kind == Kind.STREAM;
    }

    /** Chooses the service of a request by a number in [0, 1). */
    public String selectService(double random) {
        double sum = serviceShares.stream().mapToDouble(ServiceShare::weight).sum();
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
