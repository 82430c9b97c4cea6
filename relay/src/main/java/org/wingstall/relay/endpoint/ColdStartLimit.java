package org.wingstall.relay.endpoint;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.wingstall.core.peer.RendezvousHash;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.ColdStartSpec;
import org.wingstall.relay.endpoint.ColdStartShares.CoordinationRole;
import org.wingstall.relay.endpoint.ColdStartShares.FleetView;

/**
 * Limits the requests to cold endpoints. It protects a failure domain whose endpoints restart together under a burst:
 * while cold, they fail at little more than their cold-start rate.
 */
final class ColdStartLimit implements SendLimit {
    /** Length of the sliding window in which requests are counted, in ms. */
    static final long WINDOW_MS = 1000;

    private final MonotonicClock clock;
    private final Function<String, Optional<ColdStartSpec>> specs;
    private final Supplier<SendLimits.ColdStartBurst> burst;
    private final Fleet.Provider fleet;
    private final ColdStartShares shares;

    ColdStartLimit(
            MonotonicClock clock,
            Function<String, Optional<ColdStartSpec>> specs,
            Supplier<SendLimits.ColdStartBurst> burst,
            Fleet.Provider fleet,
            ColdStartShares shares) {
        this.clock = clock;
        this.specs = specs;
        this.burst = burst;
        this.fleet = fleet;
        this.shares = shares;
    }

    @Override
    public String reason() {
        return "cold";
    }

    @Override
    public boolean inactive(String service) {
        return specOf(service).isEmpty();
    }

    /** Returns the capacity of a service's cold endpoints; empty when requests to them are not limited. */
    private Optional<ColdStartSpec> specOf(String service) {
        return burst.get().factor() > 0 ? specs.apply(service) : Optional.empty();
    }

    @Override
    public boolean appliesTo(RelayEndpoint endpoint) {
        return specOf(endpoint.identity().service())
                .map(spec -> endpoint.isCold(spec, clock.nowMs()))
                .orElse(false);
    }

    @Override
    public long waitMs(RelayEndpoint endpoint, SendLimits.SelectionMode mode, RecentSends recent) {
        return recent.waitMs(requestsPerSecond(endpoint, mode), WINDOW_MS, clock.nowMs());
    }

    private int requestsPerSecond(RelayEndpoint endpoint, SendLimits.SelectionMode mode) {
        Fleet now = fleet.snapshot();
        ColdStartSpec spec = specOf(endpoint.identity().service()).orElseThrow();
        SendLimits.ColdStartBurst allowed = burst.get();
        double capacityPerSecond = spec.requestsPerSecond() * allowed.factor() + allowed.tolerance();
        boolean coordinator = mode == SendLimits.SelectionMode.COORDINATOR && now.reachesDomainMajority();
        CoordinationRole role = coordinator ? CoordinationRole.COORDINATOR : CoordinationRole.STANDALONE;
        boolean standaloneSender = role == CoordinationRole.STANDALONE
                && RendezvousHash.top("cold:" + endpoint.key(), now.boxes(), ColdStartShares.STANDALONE_BOXES)
                        .contains(now.self());
        return shares.requestsPerSecond(capacityPerSecond, role, new FleetView(now.failureDomains(), standaloneSender));
    }
}
