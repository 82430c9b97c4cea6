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

    private record State(Extent extent, long sinceMs) {}

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

    private void update(String service, List<RelayEndpoint> listed) {
        long count = listed.stream().filter(reached).count();
        Extent extent = Extent.of(count, listed.size());
        State before = states.getOrDefault(service, new State(Extent.MOST, clock.nowMs()));
        if (extent != before.extent()) {
            LogEvent.warn("endpoints-reached")
                    .with("service", service)
                    .with("extent", extent.name().toLowerCase(Locale.ROOT))
                    .with("reached", count)
                    .with("listed", listed.size())
                    .with("formerExtentForMs", clock.nowMs() - before.sinceMs())
                    .to(LOG);
            states.put(service, new State(extent, clock.nowMs()));
        } else {
            states.putIfAbsent(service, before);
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
