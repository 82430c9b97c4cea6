package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Rejects groups that are forecast to finish too late to be of use to their caller, as soon as this is known: on
 * arrival, or when a more urgent group is served first. It is meant for bursts above the throughput of a pool. Without
 * it every request waits until its deadline, so most of those that are served miss their target as well. The same
 * happens while results from before a restart fill the endpoints.
 */
final class ForecastAdmission implements PoolAdmission {
    /**
     * Minimum fraction of the pool that is assumed to be left for groups that miss their target. Below a tenth their
     * forecast wait would be more than ten times the time that the queue takes now, which is longer than any caller
     * waits.
     */
    private static final double MIN_SPARE_CAPACITY = 0.1;

    /**
     * Maximum time after which a caller is asked to retry, in ms; the length of a burst can't be predicted beyond it.
     */
    private static final long MAX_RETRY_AFTER_MS = 3000;

    private final CompletionLimit completionLimit;

    /** Determines the latest useful end of a group. */
    @FunctionalInterface
    interface CompletionLimit {
        /** Returns the time after which the group's results are of no use, in ms of the monotonic clock. */
        long latestEndMs(PieceGroup group, AdmissionContext context);
    }

    ForecastAdmission(CompletionLimit latestEnd) {
        this.completionLimit = latestEnd;
    }

    @Override
    public List<RejectedGroup> rejected(List<PieceGroup> inOrder, AdmissionContext context, long nowMs) {
        List<Long> ends = context.forecast()
                .endsAtMs(inOrder.stream().map(PieceGroup::size).toList());
        double spare = Math.max(MIN_SPARE_CAPACITY, 1 - context.load());
        List<RejectedGroup> rejected = new ArrayList<>();
        long retryAfterMs =
                ends.isEmpty() ? 0 : Math.min(MAX_RETRY_AFTER_MS, waitMs(ends.get(ends.size() - 1), nowMs, spare));
        long drainedInMs = 0;
        for (int i = 0; i < ends.size(); i++) {
            PieceGroup group = inOrder.get(i);
            double part = group.isLateAt(nowMs) ? spare : 1;
            long roomAtMs = context.capacityAtMs().applyAsLong(group);
            long endsAtMs = Math.max(nowMs + waitMs(ends.get(i), nowMs, part), roomAtMs + group.callMs());
            if (endsAtMs > completionLimit.latestEndMs(group, context)) {
                long untilRoomMs = roomAtMs - nowMs;
                rejected.add(new RejectedGroup(group, Math.max(retryAfterMs, untilRoomMs), Math.max(0, untilRoomMs)));
            } else {
                drainedInMs = Math.max(drainedInMs, Math.min(MAX_RETRY_AFTER_MS, ends.get(i) - nowMs));
            }
        }
        return afterAccepted(rejected, drainedInMs);
    }

    /** Returns the rejected groups, most urgent first, each to be retried after the accepted ones are done. */
    private static List<RejectedGroup> afterAccepted(List<RejectedGroup> rejected, long drainedInMs) {
        return rejected.stream()
                .map(one ->
                        new RejectedGroup(one.group(), one.retryAfterMs(), Math.max(drainedInMs, one.drainedInMs())))
                .sorted(Comparator.comparingInt(one -> one.group().urgency().rank()))
                .toList();
    }

    /**
     * Scales a forecast wait: later arrivals are served before groups that miss their target, which get a fraction
     * only.
     */
    private static long waitMs(long endsAtMs, long nowMs, double part) {
        if (endsAtMs == PoolForecast.NEVER) {
            return Integer.MAX_VALUE;
        }
        return Math.round((endsAtMs - nowMs) / part);
    }
}
