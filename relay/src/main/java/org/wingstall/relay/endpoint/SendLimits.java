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
 * Keeps what this box sends, or has others send, to endpoints within its share of their capacity, where that is reduced: those that
 * are cold, and those that state a limit. Where both hold the stricter one does. Confined to the request loop.
 *
 * <p>{@code List<RelayEndpoint> open = limits.open(candidates, SelectionMode.FOR_ALL); ... limits.sent(chosen);}
 *
 * @since 0.8
 */
public final class SendLimits {
    /** Endpoints whose sends are remembered until those that got none lately are dropped. */
    private static final int MOST_REMEMBERED = 1000;

    private static final RecentSends NO_SENDS = new RecentSends();

    private final MonotonicClock clock;
    private final List<SendLimit> bounds;
    private final Fleet.Provider fleet;
    private final CoordinationHistory coordination;
    private final RelayMetrics metrics;
    private final Map<String, RecentSends> sends = new HashMap<>();

    /** For whom an endpoint is chosen. */
    public enum SelectionMode {
        /** One box chooses for all that hear it, and this is it. */
        COORDINATOR,
        /** This box chooses for itself, because the box that chooses for all did not answer. */
        FALLBACK,
        /** Every box chooses for itself. */
        INDEPENDENT
    }

    /**
     * Burst that a cold endpoint takes beyond its rate.
     *
     * @param factor factor on its rate; 0 when cold endpoints are not bounded
     * @param tolerance requests in a second beyond that
     */
    public record ColdStartBurst(double factor, double tolerance) {}

    /** Builds limits; {@code SendLimits.builder(clock, fleet).stated(limits).build(metrics)}. */
    public static final class Builder {
        private final MonotonicClock clock;
        private final Fleet.Provider fleet;
        private final CoordinationHistory coordination;
        private final List<SendLimit> bounds = new ArrayList<>();

        private Builder(MonotonicClock clock, Fleet.Provider fleet, CoordinationHistory coordination) {
            this.clock = clock;
            this.fleet = fleet;
            this.coordination = coordination;
        }

        /**
         * Bounds cold endpoints.
         *
         * @param specs capacity of cold endpoints of a service, where that is reduced
         * @param overrun burst that they take beyond it
         * @param shares divides it among boxes
         * @return this
         */
        public Builder limitColdStarts(
                Function<String, Optional<ColdStartSpec>> specs,
                Supplier<ColdStartBurst> overrun,
                ColdStartShares shares) {
            bounds.add(new ColdStartLimit(clock, specs, overrun, fleet, shares));
            return this;
        }

        /**
         * Bounds endpoints that state a limit.
         *
         * @param limits what they state
         * @return this
         */
        public Builder limitAdvertised(AdvertisedLimits limits) {
            bounds.add(new AdvertisedRateLimit(clock, limits, fleet, coordination));
            return this;
        }

        /** Builds the limits. */
        public SendLimits build(RelayMetrics metrics) {
            return new SendLimits(this, metrics);
        }
    }

    private SendLimits(Builder builder, RelayMetrics metrics) {
        this.clock = builder.clock;
        this.bounds = List.copyOf(builder.bounds);
        this.fleet = builder.fleet;
        this.coordination = builder.coordination;
        this.metrics = metrics;
    }

    /**
     * Begins to build limits.
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

    /** Begins to follow for which part of the fleet this box chooses. */
    public void start(EventLoop loop) {
        PeriodicTask.start(loop, "coordination", () -> CoordinationHistory.SAMPLE_MS, coordination::sample);
    }

    /**
     * Returns the endpoints that may be sent a request now. A box that does not know the others yet leaves bounded endpoints
     * alone as long as there are others.
     *
     * @param candidates endpoints of one service
     * @param chooser for whom one of them is chosen
     * @return those that are not bounded, and bounded ones within this box's share
     */
    public List<RelayEndpoint> withinLimits(List<RelayEndpoint> candidates, SelectionMode chooser) {
        if (candidates.isEmpty() || idle(candidates.get(0).identity().service())) {
            return candidates;
        }
        List<RelayEndpoint> unbounded =
                candidates.stream().filter(endpoint -> !limited(endpoint)).toList();
        if (unbounded.size() == candidates.size()) {
            return candidates;
        }
        if (!fleet.discoveryComplete() && !unbounded.isEmpty()) {
            return unbounded;
        }
        return candidates.stream().filter(endpoint -> isOpen(endpoint, chooser)).toList();
    }

    private boolean isOpen(RelayEndpoint endpoint, SelectionMode chooser) {
        Optional<SendLimit> closed = bounds.stream()
                .filter(bound -> waitMs(bound, endpoint, chooser) > 0)
                .findFirst();
        closed.ifPresent(bound -> metrics.recordLimitedEndpoint(bound.reason()));
        return closed.isEmpty();
    }

    private boolean idle(String service) {
        return bounds.stream().allMatch(bound -> bound.inactive(service));
    }

    /** Returns the time after which one of these endpoints may be sent a request, in ms; 0 for now. */
    public long retryAfterMs(List<RelayEndpoint> candidates, SelectionMode chooser) {
        return candidates.stream()
                .mapToLong(endpoint -> waitMs(endpoint, chooser))
                .min()
                .orElse(0);
    }

    private long waitMs(RelayEndpoint endpoint, SelectionMode chooser) {
        return bounds.stream()
                .mapToLong(bound -> waitMs(bound, endpoint, chooser))
                .max()
                .orElse(0);
    }

    private long waitMs(SendLimit bound, RelayEndpoint endpoint, SelectionMode chooser) {
        RecentSends recent = sends.getOrDefault(endpoint.key(), NO_SENDS);
        return bound.appliesTo(endpoint) ? bound.waitMs(endpoint, chooser, recent) : 0;
    }

    /** Returns whether an endpoint has reduced capacity now. */
    public boolean limited(RelayEndpoint endpoint) {
        return bounds.stream().anyMatch(bound -> bound.appliesTo(endpoint));
    }

    /** Records that an endpoint is sent a request now, by this box or by one that asked it. */
    public void recordSend(RelayEndpoint endpoint) {
        long nowMs = clock.nowMs();
        sends.computeIfAbsent(endpoint.key(), key -> new RecentSends()).record(nowMs);
        if (sends.size() > MOST_REMEMBERED) {
            sends.values().removeIf(recent -> recent.expired(nowMs));
        }
    }
}
