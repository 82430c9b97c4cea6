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
    private static final double MIN_SPARE_CAPACITY = 0.1;

    /** Longest time after which to come back, in ms: how long a burst lasts can't be foreseen for longer. */
    private static final long MAX_RETRY_AFTER_MS = 3000;

    private final CompletionLimit completionLimit;

    /** Says until when a group has to be done. */
    @FunctionalInterface
    interface CompletionLimit {
        /** Returns the time after which the group's results are of no use, in ms of the monotonic clock. */
        long latestEndMs(PieceGroup group, AdmissionContext outlook);
    }

    ForecastAdmission(CompletionLimit latestEnd) {
        this.completionLimit = latestEnd;
    }

    @Override
    public List<RejectedGroup> rejected(List<PieceGroup> inOrder, AdmissionContext outlook, long nowMs) {
        List<Long> ends = outlook.forecast()
                .endsAtMs(inOrder.stream().map(PieceGroup::size).toList());
        double spare = Math.max(MIN_SPARE_CAPACITY, 1 - outlook.load());
        List<RejectedGroup> away = new ArrayList<>();
        long againMs =
                ends.isEmpty() ? 0 : Math.min(MAX_RETRY_AFTER_MS, waitMs(ends.get(ends.size() - 1), nowMs, spare));
        for (int i = 0; i < ends.size(); i++) {
            PieceGroup group = inOrder.get(i);
            double part = group.isLateAt(nowMs) ? spare : 1;
            long roomAtMs = outlook.capacityAtMs().applyAsLong(group);
            long endsAtMs = Math.max(nowMs + waitMs(ends.get(i), nowMs, part), roomAtMs + group.callMs());
            if (endsAtMs > completionLimit.latestEndMs(group, outlook)) {
                away.add(new RejectedGroup(group, Math.max(againMs, roomAtMs - nowMs)));
            }
        }
        return away;
    }

    /** Groups that are late already are overtaken by those that still come, so they get the spare part only. */
    private static long waitMs(long endsAtMs, long nowMs, double part) {
        if (endsAtMs == PoolForecast.NEVER) {
            return Integer.MAX_VALUE;
        }
        return Math.round((endsAtMs - nowMs) / part);
    }
}
