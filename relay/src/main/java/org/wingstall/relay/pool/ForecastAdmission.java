package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Turns away what would not be done by a time that is of use to its caller, as soon as that is known: on its arrival, or when something more
 * urgent took its place. The load that it answers is a burst beyond what a pool can do: without it every request waits until
 * its time is over, and so most that are served are late as well. The same holds while results of former lives fill the endpoints.
 */
final class ForecastAdmission implements PoolAdmission {
    /**
     * Least spare part of the pool that late groups are reckoned to get. Below a tenth their wait would be ten times as long
     * as what waits now, which is longer than any caller stays.
     */
    private static final double LEAST_SPARE = 0.1;

    /** Longest time after which to come back, in ms: how long a burst lasts can't be foreseen for longer. */
    private static final long MOST_AGAIN_MS = 3000;

    private final LatestEnd latestEnd;

    /** Says until when a group has to be done. */
    @FunctionalInterface
    interface LatestEnd {
        /** Returns the time after which the group's results are of no use, in ms of the monotonic clock. */
        long ofMs(PieceGroup group, PoolOutlook outlook);
    }

    ForecastAdmission(LatestEnd latestEnd) {
        this.latestEnd = latestEnd;
    }

    @Override
    public List<TurnedAway> turnedAway(List<PieceGroup> inOrder, PoolOutlook outlook, long nowMs) {
        List<Long> ends = outlook.forecast()
                .endsAtMs(inOrder.stream().map(PieceGroup::size).toList());
        double spare = Math.max(LEAST_SPARE, 1 - outlook.load());
        List<TurnedAway> away = new ArrayList<>();
        long againMs = ends.isEmpty() ? 0 : Math.min(MOST_AGAIN_MS, untilMs(ends.get(ends.size() - 1), nowMs, spare));
        for (int i = 0; i < ends.size(); i++) {
            PieceGroup group = inOrder.get(i);
            double part = group.lateAt(nowMs) ? spare : 1;
            long roomAtMs = outlook.roomAtMs().applyAsLong(group);
            long endsAtMs = Math.max(nowMs + untilMs(ends.get(i), nowMs, part), roomAtMs + group.callMs());
            if (endsAtMs > latestEnd.ofMs(group, outlook)) {
                away.add(new TurnedAway(group, Math.max(againMs, roomAtMs - nowMs)));
            }
        }
        return away;
    }

    /** Groups that are late already are overtaken by those that still come, so they get the spare part only. */
    private static long untilMs(long endsAtMs, long nowMs, double part) {
        if (endsAtMs == PoolForecast.NEVER) {
            return Integer.MAX_VALUE;
        }
        return Math.round((endsAtMs - nowMs) / part);
    }
}
