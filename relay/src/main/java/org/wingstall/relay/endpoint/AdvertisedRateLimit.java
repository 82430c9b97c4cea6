package org.wingstall.relay.endpoint;

import java.util.OptionalDouble;
import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.core.peer.RendezvousHash;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.endpoint.RateShares.FleetView;

/** Bounds requests to endpoints that state in their answers how many a second they take from all boxes together. */
final class AdvertisedRateLimit implements SendLimit {
    /** Length of the window in which requests count, in ms. */
    static final long WINDOW_MS = 4000;

    /** Time over which the requests of a window are spread, in ms. */
    private static final long SPREAD_MS = 1000;

    /** Boxes, or parts of the fleet with one of them, that may always send one request in a window. */
    private static final int PROBING_BOXES = 2;

    private static final double MAJORITY = 0.5;

    private static final double SPREADS_PER_WINDOW = WINDOW_MS / (double) SPREAD_MS;

    private final MonotonicClock clock;
    private final AdvertisedLimits limits;
    private final Fleet.Provider fleet;
    private final CoordinationHistory coordination;
    private final RateShares coordinator = new CoordinatorShares();
    private final RateShares aside = new FallbackShares();
    private final RateShares membership = new EqualShares();

    AdvertisedRateLimit(
            MonotonicClock clock, AdvertisedLimits limits, Fleet.Provider fleet, CoordinationHistory coordination) {
        this.clock = clock;
        this.limits = limits;
        this.fleet = fleet;
        this.coordination = coordination;
    }

    @Override
    public String reason() {
        return "limit";
    }

    @Override
    public boolean inactive(String service) {
        return limits.isEmpty();
    }

    @Override
    public boolean appliesTo(RelayEndpoint endpoint) {
        return !limits.isEmpty() && limits.requestsPerSecond(endpoint.key()).isPresent();
    }

    @Override
    public long waitMs(RelayEndpoint endpoint, SendLimits.SelectionMode chooser, RecentSends recent) {
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

    private RateShares shares(RelayEndpoint endpoint, SendLimits.SelectionMode chooser) {
        if (chooser == SendLimits.SelectionMode.INDEPENDENT) {
            return membership;
        }
        boolean forAll = chooser == SendLimits.SelectionMode.COORDINATOR
                && fleet.coordinates(endpoint.identity().service());
        return forAll ? coordinator : aside;
    }

    private FleetView view(RelayEndpoint endpoint, SendLimits.SelectionMode chooser) {
        Fleet now = fleet.snapshot();
        String purpose = "limit:" + endpoint.key();
        int rank = RendezvousHash.rank(purpose, now.boxes(), now.self());
        int boxes = now.boxes().size();
        if (chooser != SendLimits.SelectionMode.COORDINATOR) {
            return new FleetView(boxes, rank, rank < PROBING_BOXES, 0);
        }
        boolean probes = CoordinationHistory.reachableFraction(now) > MAJORITY || hearsFirst(purpose, now);
        return new FleetView(
                boxes,
                rank,
                probes,
                coordination.minCoordinatedFraction(endpoint.identity().service()));
    }

    private static boolean hearsFirst(String purpose, Fleet now) {
        return RendezvousHash.top(purpose, now.boxes(), PROBING_BOXES).stream().anyMatch(now.heard()::contains);
    }
}
