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
 * Holds workspaces to their fleet-wide limits by this gateway's share of each.
 *
 * <p>A share follows demand once heartbeats have carried it everywhere; until then every box takes an equal part, since
 * boxes that each know only their own demand would each take nearly the whole limit.
 *
 * <p>{@code limiter.admit(workspaceRow);}
 *
 * @since 0.1
 */
public final class WorkspaceLimiter {
    /** Limits at or above this are no limit. */
    public static final double NO_LIMIT_PER_SECOND = 1_000_000;

    private static final int MAX_REPORTED_WORKSPACES = 3;

    /** Demand is known everywhere after this many tellings: to link boxes, across, and to the boxes there. */
    private static final int INTERVALS_TO_SETTLE = 4;

    private static final long MIN_SETTLE_MS = 6_000;

    /** A workspace without arrivals for this long has to settle anew, in ms. */
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
     * Creates a limiter that knows of no other gateway.
     *
     * @param clock clock of buckets and rates
     * @param retryAfter spread of the hints
     */
    public WorkspaceLimiter(MonotonicClock clock, RetryAfter retryAfter) {
        this.clock = clock;
        this.retryAfter = retryAfter;
    }

    /**
     * Records the fleet as heartbeats tell it.
     *
     * @param knownBoxes entry boxes in the fleet, this one included
     * @param heardBoxes entry boxes heard lately, this one included
     * @param othersPerSecond arrivals a second by workspace at the other boxes heard
     * @param tellingMs time between two tellings of demand, in ms
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
        Fleet now = fleet;
        if (!meter.isSettled(clock.nowMs(), now.settleMs())) {
            return WorkspaceShares.share(row.getRequestsPerSecond(), now.knownBoxes(), now.reachableBoxes(), 0, 0);
        }
        double own = meter.arrivals.perSecond();
        double heard = own + now.othersPerSecond().getOrDefault(row.getName(), 0.0);
        return WorkspaceShares.share(row.getRequestsPerSecond(), now.knownBoxes(), now.reachableBoxes(), own, heard);
    }

    /** Returns the busiest limited workspaces and their arrivals a second here, for heartbeats. */
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
