package org.wingstall.relay.endpoint;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.PeriodicTask;
import org.wingstall.relay.config.ColdStartSpec;
import org.wingstall.relay.log.RelayMetrics;

/**
 * Limits the requests that this box sends, or has other boxes send, to its share of the capacity of endpoints that are
 * cold or advertise a limit. Where both apply, the stricter limit holds. Confined to the request loop.
 *
 * <p>{@code List<RelayEndpoint> open = limits.withinLimits(candidates, mode); ... limits.recordSend(chosen);}
 *
 * @since 0.8
 */
public final class SendLimits {
    /** Number of tracked endpoints above which those without recent requests are removed. */
    private static final int MAX_TRACKED = 1000;

    private static final RecentSends NO_SENDS = new RecentSends();

    private final MonotonicClock clock;
    private final List<SendLimit> limits;
    private final Fleet.Provider fleet;
    private final CoordinationHistory coordination;
    private final RelayMetrics metrics;
    private final Map<String, RecentSends> sends = new HashMap<>();

    /** For which boxes an endpoint is selected, and why. */
    public enum SelectionMode {
        /** This box is the coordinator and selects for all boxes that can reach it. */
        COORDINATOR,
        /** This box selects for itself, because the coordinator did not respond. */
        FALLBACK,
        /** Every box selects for itself. */
        INDEPENDENT
    }

    /**
     * Load beyond its cold-start rate that a cold endpoint tolerates.
     *
     * @param factor factor on its rate; 0 when cold endpoints are not limited
     * @param tolerance additional requests per second
     */
    public record ColdStartBurst(double factor, double tolerance) {}

    /** Builds limits; {@code SendLimits.builder(clock, fleet).limitAdvertised(limits).build(metrics)}. */
    public static final class Builder {
        private final MonotonicClock clock;
        private final Fleet.Provider fleet;
        private final CoordinationHistory coordination;
        private final List<SendLimit> sendLimits = new ArrayList<>();

        private Builder(MonotonicClock clock, Fleet.Provider fleet, CoordinationHistory coordination) {
            this.clock = clock;
            this.fleet = fleet;
            this.coordination = coordination;
        }

        /**
         * Limits the requests to cold endpoints.
         *
         * @param specs capacity of a service's cold endpoints, where that is reduced
         * @param burst load beyond it that they tolerate
         * @param shares divides the capacity among boxes
         * @return this
         */
        public Builder limitColdStarts(
                Function<String, Optional<ColdStartSpec>> specs,
                Supplier<ColdStartBurst> burst,
                ColdStartShares shares) {
            sendLimits.add(new ColdStartLimit(clock, specs, burst, fleet, shares));
            return this;
        }

        /**
         * Limits the requests to endpoints that advertise a limit.
         *
         * @param limits the limits that they advertise
         * @return this
         */
        public Builder limitAdvertised(AdvertisedLimits limits) {
            sendLimits.add(new AdvertisedRateLimit(clock, limits, fleet, coordination));
            return this;
        }

        /** Builds the limits. */
        public SendLimits build(RelayMetrics metrics) {
            return new SendLimits(this, metrics);
        }
    }

    private SendLimits(Builder builder, RelayMetrics metrics) {
        this.clock = builder.clock;
        this.limits = List.copyOf(builder.sendLimits);
        this.fleet = builder.fleet;
        this.coordination = builder.coordination;
        this.metrics = metrics;
    }

    /**
     * Creates a builder.
     *
     * @param clock monotonic clock
     * @param fleet the fleet as this box knows it
     */
    public static Builder builder(MonotonicClock clock, Fleet.Provider fleet) {
        return builder(clock, fleet, new CoordinationHistory(clock, fleet, AdvertisedRateLimit.WINDOW_MS));
    }

    static Builder builder(MonotonicClock clock, Fleet.Provider fleet, CoordinationHistory coordination) {
        return new Builder(clock, fleet, coordination);
    }

    /** Starts to track for which fraction of the fleet this box selects endpoints. */
    public void start(EventLoop loop) {
        PeriodicTask.startAligned(loop, "coordination", CoordinationHistory.SAMPLE_MS, coordination::sample);
    }

    /**
     * Returns the endpoints that a request may be sent to now. A box that has not discovered the others yet avoids
     * limited endpoints as long as there are others.
     *
     * @param candidates endpoints of one service
     * @param mode for which boxes one of them is selected
     * @return those without a limit, and limited ones within this box's share
     */
    public List<RelayEndpoint> withinLimits(List<RelayEndpoint> candidates, SelectionMode mode) {
        if (candidates.isEmpty() || inactive(candidates.get(0).identity().service())) {
            return candidates;
        }
        List<RelayEndpoint> unlimited = new ArrayList<>(candidates.size());
        for (RelayEndpoint endpoint : candidates) {
            if (!limited(endpoint)) {
                unlimited.add(endpoint);
            }
        }
        if (unlimited.size() == candidates.size()) {
            return candidates;
        }
        if (!fleet.discoveryComplete() && !unlimited.isEmpty()) {
            return unlimited;
        }
        List<RelayEndpoint> within = new ArrayList<>(candidates.size());
        for (RelayEndpoint endpoint : candidates) {
            if (isWithinLimits(endpoint, mode)) {
                within.add(endpoint);
            }
        }
        return within;
    }

    private boolean isWithinLimits(RelayEndpoint endpoint, SelectionMode mode) {
        for (SendLimit limit : limits) {
            if (waitMs(limit, endpoint, mode) > 0) {
                metrics.recordLimitedEndpoint(limit.reason());
                return false;
            }
        }
        return true;
    }

    private boolean inactive(String service) {
        for (SendLimit limit : limits) {
            if (!limit.inactive(service)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the time after which a request may be sent to one of these endpoints, in ms; 0 for now. */
    public long retryAfterMs(List<RelayEndpoint> candidates, SelectionMode mode) {
        return candidates.stream()
                .mapToLong(endpoint -> waitMs(endpoint, mode))
                .min()
                .orElse(0);
    }

    private long waitMs(RelayEndpoint endpoint, SelectionMode mode) {
        long longestMs = 0;
        for (SendLimit limit : limits) {
            longestMs = Math.max(longestMs, waitMs(limit, endpoint, mode));
        }
        return longestMs;
    }

    private long waitMs(SendLimit limit, RelayEndpoint endpoint, SelectionMode mode) {
        return limit.appliesTo(endpoint)
                ? limit.waitMs(endpoint, mode, sends.getOrDefault(endpoint.key(), NO_SENDS))
                : 0;
    }

    /** Returns whether a limit applies to an endpoint now. */
    public boolean limited(RelayEndpoint endpoint) {
        for (SendLimit limit : limits) {
            if (limit.appliesTo(endpoint)) {
                return true;
            }
        }
        return false;
    }

    /** Records that a request is sent to an endpoint now, by this box or by one that it selects for. */
    public void recordSend(RelayEndpoint endpoint) {
        long nowMs = clock.nowMs();
        sends.computeIfAbsent(endpoint.key(), key -> new RecentSends()).recordSend(nowMs);
        if (sends.size() > MAX_TRACKED) {
            sends.values().removeIf(recent -> recent.expired(nowMs));
        }
    }
}
