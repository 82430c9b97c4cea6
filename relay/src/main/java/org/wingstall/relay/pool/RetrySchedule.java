package org.wingstall.relay.pool;

import org.wingstall.core.answer.RetryTime;

/**
 * Spreads the retries of rejected callers over steps of time, at the rate at which the pool has capacity for them. Each
 * retry reserves the slot time of its group in a step. Confined to the request loop.
 */
final class RetrySchedule implements RetryTimes {
    /** Length of a step, in ms; below the shortest call, so that a step's callers share a call or two. */
    static final long STEP_MS = RetryTime.STEP_MS;

    /**
     * Callers wait for at most this fraction of their remaining time after a refusal. Those that are told more give up.
     * The spread within a step is part of it.
     */
    private static final double MAX_REMAINING_FRACTION = 1.0 / 3;

    /**
     * Minimum fraction of the pool that counts as free for retries. An overload ends or requests are refused again;
     * with no capacity at all every caller would be told the maximum, and all would return together.
     */
    private static final double MIN_FREE_FRACTION = 0.1;

    /** Steps that the schedule covers: 30 s, which is the longest retry time that is sent. */
    private static final int STEPS = 300;

    /** Slot time that is reserved in each step, in ms; step n is at index n modulo the length. */
    private final double[] reservedMs = new double[STEPS];

    private long firstStep;

    @Override
    public RetryTime retryTime(PoolAdmission.RejectedGroup rejected, AdmissionContext context, long nowMs) {
        Urgency urgency = rejected.group().urgency();
        long maxMs = Math.round((urgency.callerDeadlineAtMs() - nowMs) * MAX_REMAINING_FRACTION);
        long earliestMs = Math.max(rejected.drainedInMs(), urgency.laterWaitMs());
        double stepCapacityMs =
                context.forecast().slotsFreeAtMs().size() * STEP_MS * Math.max(MIN_FREE_FRACTION, 1 - context.load());
        double workMs = workMs(rejected.group(), context.forecast());
        return RetryTime.scheduled(reserve(nowMs, earliestMs, Math.max(0, maxMs - STEP_MS), workMs, stepCapacityMs));
    }

    private static double workMs(PieceGroup group, PoolForecast forecast) {
        return forecast.callMs().applyAsDouble(forecast.batch()) * group.size() / forecast.batch();
    }

    /**
     * Reserves slot time from the first step that has some left; what exceeds it is taken from the steps after it.
     *
     * @param nowMs monotonic clock, in ms
     * @param earliestMs time from now before which nothing is reserved, in ms
     * @param maxMs maximum time from now, in ms
     * @param workMs slot time to reserve, in ms
     * @param stepCapacityMs slot time of a step, in ms
     * @return the time from now, in ms; the maximum when no step before it has capacity
     */
    long reserve(long nowMs, long earliestMs, long maxMs, double workMs, double stepCapacityMs) {
        clearBefore(Math.floorDiv(nowMs, STEP_MS));
        long endStep = Math.min(firstStep + STEPS, Math.floorDiv(nowMs + maxMs, STEP_MS));
        for (long step = stepAt(nowMs + earliestMs); step < endStep; step++) {
            if (reservedMs[index(step)] < stepCapacityMs) {
                take(step, workMs, stepCapacityMs);
                return step * STEP_MS - nowMs;
            }
        }
        return maxMs;
    }

    private void take(long fromStep, double workMs, double stepCapacityMs) {
        double leftMs = workMs;
        for (long step = fromStep; step < firstStep + STEPS && leftMs > 0; step++) {
            double takenMs = Math.min(leftMs, Math.max(0, stepCapacityMs - reservedMs[index(step)]));
            reservedMs[index(step)] += takenMs;
            leftMs -= takenMs;
        }
    }

    private void clearBefore(long step) {
        for (long past = Math.max(firstStep, step - STEPS); past < step; past++) {
            reservedMs[index(past)] = 0;
        }
        firstStep = step;
    }

    /** Returns the first step that begins at or after the given time. */
    private static long stepAt(long atMs) {
        return Math.floorDiv(atMs + STEP_MS - 1, STEP_MS);
    }

    private static int index(long step) {
        return Math.floorMod(step, STEPS);
    }
}
