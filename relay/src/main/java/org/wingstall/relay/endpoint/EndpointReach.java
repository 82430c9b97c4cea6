package org.wingstall.relay.endpoint;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;

/**
 * Tracks how many endpoints of each service this box reaches. Confined to the request loop.
 *
 * <p>{@code reach.update(); if (reach.poorlyReached().contains("pay-ledger")) { coordinateElsewhere(); }}
 *
 * @since 0.15
 */
public final class EndpointReach {
    private static final Logger LOG = LogManager.getLogger(EndpointReach.class);

    /** Time for which a service has to be better reached before this counts, in ms, so that choices don't alternate. */
    private static final long BETTER_AFTER_MS = 1000;

    private final RelayEndpoints endpoints;
    private final Predicate<RelayEndpoint> reached;
    private final MonotonicClock clock;
    private final Map<String, State> states = new HashMap<>();
    private volatile Set<String> poorlyReached = Set.of();

    /** How many of its listed endpoints a service is reached by. */
    enum Extent {
        /** None. */
        NONE,
        /** Fewer than half. */
        FEW,
        /** At least half. */
        MOST;

        static Extent of(long reached, int listed) {
            if (2 * reached >= listed) {
                return MOST;
            }
            return reached == 0 ? NONE : FEW;
        }
    }

    /** What counts at present, since when, and since when the service has been better reached than that. */
    private record State(Extent extent, long sinceMs, long betterSinceMs) {
        private static final long NEVER = Long.MAX_VALUE;

        static State of(Extent extent, long nowMs) {
            return new State(extent, nowMs, NEVER);
        }

        State next(Extent counted, long nowMs) {
            if (counted == extent) {
                return new State(extent, sinceMs, NEVER);
            }
            long betterMs = Math.min(betterSinceMs, nowMs);
            boolean better = counted.compareTo(extent) > 0;
            return better && nowMs - betterMs < BETTER_AFTER_MS
                    ? new State(extent, sinceMs, betterMs)
                    : of(counted, nowMs);
        }
    }

    /**
     * Creates a tracker that takes all services for reached until the first update.
     *
     * @param endpoints endpoints of all services
     * @param reached whether this box reaches an endpoint
     * @param clock monotonic clock
     */
    public EndpointReach(RelayEndpoints endpoints, Predicate<RelayEndpoint> reached, MonotonicClock clock) {
        this.endpoints = endpoints;
        this.reached = reached;
        this.clock = clock;
    }

    /**
     * Counts the endpoints again and logs each service whose extent has changed.
     *
     * @return whether other services are poorly reached than before
     */
    public boolean update() {
        if (poorlyReached.isEmpty() && allReached()) {
            return false;
        }
        Map<String, List<RelayEndpoint>> listed = endpoints.all().stream()
                .filter(endpoint -> !endpoint.state().leaving())
                .collect(Collectors.groupingBy(endpoint -> endpoint.identity().service()));
        states.keySet().retainAll(listed.keySet());
        listed.forEach(this::update);
        Set<String> poor = new TreeSet<>();
        states.forEach((service, state) -> {
            if (state.extent() != Extent.MOST) {
                poor.add(service);
            }
        });
        boolean changed = !poor.equals(poorlyReached);
        if (changed) {
            poorlyReached = Set.copyOf(poor);
        }
        return changed;
    }

    /** Spares the counts by service, which take longer in large fleets. */
    private boolean allReached() {
        return endpoints.all().stream().allMatch(endpoint -> endpoint.state().leaving() || reached.test(endpoint));
    }

    private void update(String service, List<RelayEndpoint> listed) {
        long count = listed.stream().filter(reached).count();
        State before = states.computeIfAbsent(service, name -> State.of(Extent.MOST, clock.nowMs()));
        State after = before.next(Extent.of(count, listed.size()), clock.nowMs());
        states.put(service, after);
        if (after.extent() != before.extent()) {
            LogEvent.warn("endpoints-reached")
                    .with("service", service)
                    .with("extent", after.extent().name().toLowerCase(Locale.ROOT))
                    .with("reached", count)
                    .with("listed", listed.size())
                    .with("formerExtentForMs", clock.nowMs() - before.sinceMs())
                    .to(LOG);
        }
    }

    /** Returns the services of which this box reaches fewer than half of the endpoints; can be read on any thread. */
    public Set<String> poorlyReached() {
        return poorlyReached;
    }

    /** Returns the number of endpoints of all services that this box reaches. */
    public long reachedEndpoints() {
        return endpoints.all().stream().filter(reached).count();
    }
}
