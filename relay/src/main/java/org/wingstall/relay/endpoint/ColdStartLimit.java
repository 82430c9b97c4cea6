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
 * Bounds requests to cold endpoints. The load that it answers is a failure domain whose endpoints come back cold together under
 * a burst: they fall over at little more than their rate.
 */
final class ColdStartLimit implements SendLimit {
    /** Length of the window in which requests count, in ms. */
    static final long WINDOW_MS = 1000;

    private final MonotonicClock clock;
    private final Function<String, Optional<ColdStartSpec>> specs;
    private final Supplier<SendLimits.ColdStartBurst> overrun;
    private final Fleet.Provider fleet;
    private final ColdStartShares shares;

    ColdStartLimit(
            MonotonicClock clock,
            Function<String, Optional<ColdStartSpec>> specs,
            Supplier<SendLimits.ColdStartBurst> overrun,
            Fleet.Provider fleet,
            ColdStartShares shares) {
        this.clock = clock;
        this.specs = specs;
        this.overrun = overrun;
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

    /** Returns what cold endpoints of a service bear; empty when that is not bounded. */
    private Optional<ColdStartSpec> specOf(String service) {
        return overrun.get().factor() > 0 ? specs.apply(service) : Optional.empty();
    }

    @Override
    public boolean appliesTo(RelayEndpoint endpoint) {
        return specOf(endpoint.identity().service())
                .map(spec -> endpoint.cold(spec, clock.nowMs()))
                .orElse(false);
    }

    @Override
    public long waitMs(RelayEndpoint endpoint, SendLimits.SelectionMode chooser, RecentSends recent) {
        return recent.waitMs(perSecond(endpoint, chooser), WINDOW_MS, clock.nowMs());
    }

    private int perSecond(RelayEndpoint endpoint, SendLimits.SelectionMode chooser) {
        Fleet now = fleet.snapshot();
        ColdStartSpec spec = specOf(endpoint.identity().service()).orElseThrow();
        SendLimits.ColdStartBurst beyond = overrun.get();
        double bearable = spec.requestsPerSecond() * beyond.factor() + beyond.tolerance();
        boolean forAll = chooser == SendLimits.SelectionMode.COORDINATOR && now.reachesDomainMajority();
        CoordinationRole standing = forAll ? CoordinationRole.COORDINATOR : CoordinationRole.STANDALONE;
        boolean amongFirst = standing == CoordinationRole.STANDALONE
                && RendezvousHash.top("cold:" + endpoint.key(), now.boxes(), ColdStartShares.STANDALONE_BOXES)
                        .contains(now.self());
        return shares.perSecond(bearable, standing, new FleetView(now.failureDomains(), amongFirst));
    }
}
