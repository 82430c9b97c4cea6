package org.wingstall.relay.endpoint;

import java.util.OptionalDouble;
import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.core.peer.RendezvousHash;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.endpoint.RateShares.FleetView;

/**
 * Limits the requests to endpoints that advertise in their responses how many per second they take from all boxes
 * together.
 */
final class AdvertisedRateLimit implements SendLimit {
    /** Length of the sliding window in which requests are counted, in ms. */
    static final long WINDOW_MS = 4000;

    /** Length of the shorter window that spreads the requests of a window over time, in ms. */
    private static final long SPREAD_MS = 1000;

    /** Number of boxes, or of partitions that contain one of them, that may always send one request in a window. */
    private static final int PROBING_BOXES = 2;

    private static final double MAJORITY = 0.5;

    private static final double SPREADS_PER_WINDOW = WINDOW_MS / (double) SPREAD_MS;

    private final MonotonicClock clock;
    private final AdvertisedLimits limits;
    private final Fleet.Provider fleet;
    private final CoordinationHistory history;
    private final RateShares coordinator = new CoordinatorShares();
    private final RateShares fallback = new FallbackShares();
    private final RateShares independent = new EqualShares();

    AdvertisedRateLimit(
            MonotonicClock clock, AdvertisedLimits limits, Fleet.Provider fleet, CoordinationHistory history) {
        this.clock = clock;
        this.limits = limits;
        this.fleet = fleet;
        this.history = history;
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
    public long waitMs(RelayEndpoint endpoint, SendLimits.SelectionMode mode, RecentSends recent) {
        OptionalDouble rate = limits.requestsPerSecond(endpoint.key());
        if (rate.isEmpty()) {
            return 0;
        }
        double capacity = rate.getAsDouble() * WINDOW_MS / SPREAD_MS;
        int perWindow = shares(endpoint, mode).perWindow(capacity, view(endpoint, mode));
        int perSpread = (int) Math.ceil(perWindow / SPREADS_PER_WINDOW);
        long nowMs = clock.nowMs();
        return Math.max(recent.waitMs(perWindow, WINDOW_MS, nowMs), recent.waitMs(perSpread, SPREAD_MS, nowMs));
    }

    private RateShares shares(RelayEndpoint endpoint, SendLimits.SelectionMode mode) {
        if (mode == SendLimits.SelectionMode.INDEPENDENT) {
            return independent;
        }
        boolean coordinates = mode == SendLimits.SelectionMode.COORDINATOR
                && fleet.coordinates(endpoint.identity().service());
        return coordinates ? coordinator : fallback;
    }

    private FleetView view(RelayEndpoint endpoint, SendLimits.SelectionMode mode) {
        Fleet now = fleet.snapshot();
        String purpose = "limit:" + endpoint.key();
        int rank = RendezvousHash.rank(purpose, now.boxes(), now.self());
        int boxes = now.boxes().size();
        if (mode != SendLimits.SelectionMode.COORDINATOR) {
            return new FleetView(boxes, rank, rank < PROBING_BOXES, 0);
        }
        boolean mayProbe = CoordinationHistory.reachableFraction(now) > MAJORITY || hearsProbingBox(purpose, now);
        return new FleetView(
                boxes,
                rank,
                mayProbe,
                history.minCoordinatedFraction(endpoint.identity().service()));
    }

    private static boolean hearsProbingBox(String purpose, Fleet now) {
        return RendezvousHash.top(purpose, now.boxes(), PROBING_BOXES).stream().anyMatch(now.reachable()::contains);
    }
}
