package org.wingstall.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.peer.WorkspaceDemand;
import org.wingstall.schema.table.WorkspaceRow;

/**
 * Enforces this gateway's share of each workspace's fleet-wide rate limit.
 *
 * <p>A share is proportional to demand once heartbeats have carried the demand to all boxes. Until then every box takes
 * an equal share, since boxes that know only their own demand would each take nearly the whole limit.
 *
 * <p>{@code limiter.admit(workspaceRow);}
 *
 * @since 0.1
 */
public final class WorkspaceLimiter {
    /** Rate at or above which a configured limit means unlimited. */
    public static final double NO_LIMIT_PER_SECOND = 1_000_000;

    private static final int MAX_REPORTED_WORKSPACES = 3;

    /**
     * Demand is known to all boxes after this many heartbeat intervals: to the link boxes, to the other failure
     * domains, and to the boxes there.
     */
    private static final int INTERVALS_TO_SETTLE = 4;

    private static final long MIN_SETTLE_MS = 6_000;

    /** Time without arrivals after which a workspace's demand has to settle again, in ms. */
    private static final long IDLE_MS = 10_000;

    private final MonotonicClock clock;
    private final RetryAfter retryAfter;
    private final Map<String, Meter> meters = new ConcurrentHashMap<>();
    private volatile Fleet fleet = new Fleet(1, 1, Map.of(), MIN_SETTLE_MS);

    private static final class Meter {
        private final TokenBucket bucket;
        private final ArrivalRate arrivals;
        private volatile long activeSinceMs;
        private volatile long lastArrivalMs;

        Meter(MonotonicClock clock) {
            this.bucket = new TokenBucket(clock);
            this.arrivals = new ArrivalRate(clock);
            this.activeSinceMs = clock.nowMs();
            this.lastArrivalMs = activeSinceMs;
        }

        void recordArrival(long nowMs) {
            if (nowMs - lastArrivalMs > IDLE_MS) {
                activeSinceMs = nowMs;
            }
            lastArrivalMs = nowMs;
            arrivals.recordArrival();
        }

        boolean isSettled(long nowMs, long settleMs) {
            return nowMs - activeSinceMs > settleMs;
        }
    }

    private record Fleet(int knownBoxes, int reachableBoxes, Map<String, Double> othersPerSecond, long settleMs) {}

    /**
     * Creates a limiter that assumes a fleet of one gateway.
     *
     * @param clock clock of buckets and rates
     * @param retryAfter adds jitter to retry hints
     */
    public WorkspaceLimiter(MonotonicClock clock, RetryAfter retryAfter) {
        this.clock = clock;
        this.retryAfter = retryAfter;
    }

    /**
     * Updates the fleet's size and demand from heartbeats.
     *
     * @param knownBoxes entry boxes in the fleet, including this one
     * @param reachableBoxes entry boxes whose heartbeats arrived recently, including this one
     * @param othersPerSecond arrivals per second by workspace at the other reachable boxes
     * @param demandIntervalMs time between two heartbeats that carry demand, in ms
     */
    public void updateFleet(
            int knownBoxes, int reachableBoxes, Map<String, Double> othersPerSecond, long demandIntervalMs) {
        long settleMs = Math.max(MIN_SETTLE_MS, INTERVALS_TO_SETTLE * demandIntervalMs);
        fleet = new Fleet(knownBoxes, reachableBoxes, Map.copyOf(othersPerSecond), settleMs);
    }

    /**
     * Counts an arrival and refuses it when the workspace's share is used up.
     *
     * @param row the workspace
     * @throws RefusedException if the share is used up
     */
    public void admit(WorkspaceRow row) throws RefusedException {
        if (row.getRequestsPerSecond() >= NO_LIMIT_PER_SECOND) {
            return;
        }
        Meter meter = meters.computeIfAbsent(row.getName(), name -> new Meter(clock));
        meter.recordArrival(clock.nowMs());
        double share = shareOf(row, meter);
        if (!meter.bucket.tryTake(share)) {
            String detail = "workspace '" + row.getName() + "' is at its limit of " + row.getRequestsPerSecond()
                    + " requests a second";
            throw new RefusedException(
                    Reason.WORKSPACE_LIMIT, detail, retryAfter.jitteredMs(meter.bucket.waitMs(share)));
        }
    }

    private double shareOf(WorkspaceRow row, Meter meter) {
        Fleet currentFleet = fleet;
        if (!meter.isSettled(clock.nowMs(), currentFleet.settleMs())) {
            return WorkspaceShares.share(
                    row.getRequestsPerSecond(), currentFleet.knownBoxes(), currentFleet.reachableBoxes(), 0, 0);
        }
        double own = meter.arrivals.perSecond();
        double reachable = own + currentFleet.othersPerSecond().getOrDefault(row.getName(), 0.0);
        return WorkspaceShares.share(
                row.getRequestsPerSecond(), currentFleet.knownBoxes(), currentFleet.reachableBoxes(), own, reachable);
    }

    /** Returns the busiest limited workspaces with their arrivals per second on this box, for heartbeats. */
    public List<WorkspaceDemand> demand() {
        List<WorkspaceDemand> demand = new ArrayList<>();
        meters.forEach((name, meter) -> {
            double perSecond = meter.arrivals.perSecond();
            if (perSecond >= 0.05) {
                demand.add(new WorkspaceDemand(name, Math.round(perSecond * 10) / 10.0));
            }
        });
        demand.sort((a, b) -> Double.compare(b.getPerSecond(), a.getPerSecond()));
        return List.copyOf(demand.subList(0, Math.min(MAX_REPORTED_WORKSPACES, demand.size())));
    }
}
