package org.wingstall.relay.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Estimates the slowdown factors of the endpoints of one service, relative to the median endpoint. Confined to the
 * request loop.
 *
 * <p>The median keeps the factors and the service's own estimate of call times from drifting against each other: when
 * all endpoints get slower, the factors stay at 1 and the service's estimate rises.
 */
final class EndpointSlowdowns {
    /** Ratio to the median up to which endpoints count as alike; call times of equal endpoints vary by about 20 %. */
    private static final double ALIKE_RATIO = 1.25;

    private final boolean used;
    private final Map<String, SlowdownEstimate> estimates = new HashMap<>();
    private double median = 1;

    EndpointSlowdowns() {
        this(true);
    }

    /**
     * Creates estimates.
     *
     * @param used whether the estimates apply; otherwise all endpoints count as alike
     */
    EndpointSlowdowns(boolean used) {
        this.used = used;
    }

    /** Records the duration of a call, or a lower bound of it, and the duration that the service's estimate gives. */
    void recordCall(String endpointKey, double tookMs, double expectedMs, long nowMs) {
        estimates.values().removeIf(estimate -> !estimate.validAt(nowMs));
        estimates.merge(
                endpointKey,
                SlowdownEstimate.usual(nowMs).with(tookMs / Math.max(1, expectedMs), nowMs),
                (known, first) -> known.with(tookMs / Math.max(1, expectedMs), nowMs));
        double[] factors = estimates.values().stream()
                .mapToDouble(SlowdownEstimate::factor)
                .sorted()
                .toArray();
        median = factors[(factors.length - 1) / 2];
    }

    /**
     * Returns the slowdown factor of an endpoint: 1 if it is unknown or the endpoint is like the others.
     *
     * @param endpointKey key of the endpoint
     * @param stated factor that the endpoint states of itself, if the statement is valid
     * @param nowMs monotonic clock, in ms
     */
    double of(String endpointKey, OptionalDouble stated, long nowMs) {
        if (!used) {
            return 1;
        }
        SlowdownEstimate estimate = estimates.get(endpointKey);
        double measured = estimate == null || !estimate.validAt(nowMs) ? 1 : estimate.factor() / median;
        double factor = SlowdownEstimate.applied(measured, stated);
        return factor > ALIKE_RATIO || factor < 1 / ALIKE_RATIO ? factor : 1;
    }

    /** Returns the time since the last measured call to an endpoint ended, in ms; 0 if there is none. */
    long untestedMs(String endpointKey, long nowMs) {
        SlowdownEstimate estimate = estimates.get(endpointKey);
        return estimate == null ? 0 : nowMs - estimate.measuredAtMs();
    }
}
