package org.wingstall.relay.endpoint;

import java.util.OptionalDouble;
import org.wingstall.core.limit.StatedLimits;
import org.wingstall.core.peer.Rendezvous;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.endpoint.RateShares.FleetView;

/** Bounds requests to endpoints that state in their answers how many a second they take from all boxes together. */
final class StatedBound implements SendBound {
    /** Length of the window in which requests count, in ms. */
    static final long WINDOW_MS = 4000;

    /** Time over which the requests of a window are spread, in ms. */
    private static final long SPREAD_MS = 1000;

    /** Boxes, or parts of the fleet with one of them, that may always send one request in a window. */
    private static final int PROBING_BOXES = 2;

    private static final double MAJORITY = 0.5;

    private static final double SPREADS_PER_WINDOW = WINDOW_MS / (double) SPREAD_MS;

    private final MonotonicClock clock;
    private final StatedLimits limits;
    private final Fleet.View fleet;
    private final Coordination coordination;
    private final RateShares coordinator = new CoordinatorShares();
    private final RateShares aside = new AsideShares();
    private final RateShares membership = new MembershipShares();

    StatedBound(MonotonicClock clock, StatedLimits limits, Fleet.View fleet, Coordination coordination) {
        this.clock = clock;
        this.limits = limits;
        this.fleet = fleet;
        this.coordination = coordination;
    }

    @Override
    public String cause() {
        return "limit";
    }

    @Override
    public boolean idle(String service) {
        return limits.isEmpty();
    }

    @Override
    public boolean binds(RelayEndpoint endpoint) {
        return !limits.isEmpty() && limits.requestsPerSecond(endpoint.key()).isPresent();
    }

    @Override
    public long waitMs(RelayEndpoint endpoint, SendLimits.Chooser chooser, RecentSends recent) {
        OptionalDouble rate = limits.requestsPerSecond(endpoint.key());
        if (rate.isEmpty()) {
            return 0;
        }
        double takes = rate.getAsDouble() * WINDOW_MS / SPREAD_MS;
        int perWindow = shares(endpoint, chooser).perWindow(takes, view(endpoint, chooser));
        int perSpread = (int) Math.ceil(perWindow / SPREADS_PER_WINDOW);
        long nowMs = clock.nowMs();
        return Math.max(recent.waitMs(perWindow, WINDOW_MS, nowMs), recent.waitMs(perSpread, SPREAD_MS, nowMs));
    }

    private RateShares shares(RelayEndpoint endpoint, SendLimits.Chooser chooser) {
        if (chooser == SendLimits.Chooser.EACH_BOX) {
            return membership;
        }
        boolean forAll = chooser == SendLimits.Chooser.FOR_ALL
                && fleet.coordinates(endpoint.identity().service());
        return forAll ? coordinator : aside;
    }

    private FleetView view(RelayEndpoint endpoint, SendLimits.Chooser chooser) {
        Fleet now = fleet.now();
        String purpose = "limit:" + endpoint.key();
        int rank = Rendezvous.rank(purpose, now.boxes(), now.self());
        int boxes = now.boxes().size();
        if (chooser != SendLimits.Chooser.FOR_ALL) {
            return new FleetView(boxes, rank, rank < PROBING_BOXES, 0);
        }
        boolean probes = Coordination.heardPart(now) > MAJORITY || hearsFirst(purpose, now);
        return new FleetView(
                boxes, rank, probes, coordination.leastPart(endpoint.identity().service()));
    }

    private static boolean hearsFirst(String purpose, Fleet now) {
        return Rendezvous.top(purpose, now.boxes(), PROBING_BOXES).stream().anyMatch(now.heard()::contains);
    }
}
