package org.wingstall.relay.endpoint;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.wingstall.core.peer.Rendezvous;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.ColdSpec;
import org.wingstall.relay.endpoint.ColdShares.FleetView;
import org.wingstall.relay.endpoint.ColdShares.Standing;

/**
 * Bounds requests to cold endpoints. The load that it answers is a failure domain whose endpoints come back cold together under
 * a burst: they fall over at little more than their rate.
 */
final class ColdBound implements SendBound {
    /** Length of the window in which requests count, in ms. */
    static final long WINDOW_MS = 1000;

    private final MonotonicClock clock;
    private final Function<String, Optional<ColdSpec>> specs;
    private final Supplier<SendLimits.ColdOverrun> overrun;
    private final Fleet.View fleet;
    private final ColdShares shares;

    ColdBound(
            MonotonicClock clock,
            Function<String, Optional<ColdSpec>> specs,
            Supplier<SendLimits.ColdOverrun> overrun,
            Fleet.View fleet,
            ColdShares shares) {
        this.clock = clock;
        this.specs = specs;
        this.overrun = overrun;
        this.fleet = fleet;
        this.shares = shares;
    }

    @Override
    public String cause() {
        return "cold";
    }

    @Override
    public boolean idle(String service) {
        return specOf(service).isEmpty();
    }

    /** Returns what cold endpoints of a service bear; empty when that is not bounded. */
    private Optional<ColdSpec> specOf(String service) {
        return overrun.get().factor() > 0 ? specs.apply(service) : Optional.empty();
    }

    @Override
    public boolean binds(RelayEndpoint endpoint) {
        return specOf(endpoint.identity().service())
                .map(spec -> endpoint.cold(spec, clock.nowMs()))
                .orElse(false);
    }

    @Override
    public long waitMs(RelayEndpoint endpoint, SendLimits.Chooser chooser, RecentSends recent) {
        return recent.waitMs(perSecond(endpoint, chooser), WINDOW_MS, clock.nowMs());
    }

    private int perSecond(RelayEndpoint endpoint, SendLimits.Chooser chooser) {
        Fleet now = fleet.now();
        ColdSpec spec = specOf(endpoint.identity().service()).orElseThrow();
        SendLimits.ColdOverrun beyond = overrun.get();
        double bearable = spec.perSecond() * beyond.factor() + beyond.tolerance();
        boolean forAll = chooser == SendLimits.Chooser.FOR_ALL && now.choosesForAll();
        Standing standing = forAll ? Standing.FOR_ALL : Standing.ALONE;
        boolean amongFirst = standing == Standing.ALONE
                && Rendezvous.top("cold:" + endpoint.key(), now.boxes(), ColdShares.ALONE_BOXES)
                        .contains(now.self());
        return shares.perSecond(bearable, standing, new FleetView(now.failureDomains(), amongFirst));
    }
}
