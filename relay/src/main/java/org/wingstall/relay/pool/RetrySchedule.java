package org.wingstall.relay.pool;

import java.util.function.LongToDoubleFunction;
import org.wingstall.core.answer.RetryTime;

/**
 * Spreads the retries of rejected callers over steps of time, at the rate at which the pool has capacity for them. Each
 * retry reserves the slot time of its group in a step. Confined to the request loop.
 */
final class RetrySchedule implements RetryTimes {
    /** Length of a step, in ms; below the shortest call, so that a step's callers share a call or two. */
    static final long STEP_MS = RetryTime.STEP_MS;

    /** Callers wait for at most this fraction of their remaining time, whatever longer time they are told. */
    private static final double MAX_REMAINING_FRACTION = 1.0 / 3;

    /**
     * Time constant with which the load is expected to return to the usual one, in ms. Bursts last some seconds, and
     * how long one will go on is not known.
     */
    private static final double BURST_TIME_CONSTANT_MS = 6000;

    /**
     * Maximum load that is expected after a burst. The mean includes the burst itself, which would leave no capacity at
     * any time; a tenth is also what late groups are assumed to get.
     */
    private static final double MAX_USUAL_LOAD = 0.9;

    /** Steps that the schedule covers: 30 s, which is the longest retry time that is sent. */
    private static final int STEPS = 300;

    /** Slot time that is reserved in each step, in ms; step n is at index n modulo the length. */
    private final double[] reservedMs = new double[STEPS];

    private long firstStep;

    @Override
    public RetryTime retryTime(PoolAdmission.RejectedGroup rejected, AdmissionContext context, long nowMs) {
        Urgency urgency = rejected.group().urgency();
        long remainingMs = Math.max(0, urgency.callerDeadlineAtMs() - nowMs);
        long maxMs = Math.round(remainingMs * MAX_REMAINING_FRACTION);
        if (urgency.laterWaitMs() > 0) {
            // The free capacity of the pools of later stages is not known here.
            return RetryTime.scheduled(maxMs);
        }
        double slots = context.forecast().usualSlots();
        double workMs = workMs(rejected.group(), context.forecast());
        double usual = Math.min(MAX_USUAL_LOAD, context.usualLoad());
        return RetryTime.scheduled(reserve(nowMs, rejected.drainedInMs(), maxMs, workMs, inMs -> {
            double load = usual + (context.load() - usual) * Math.exp(-inMs / BURST_TIME_CONSTANT_MS);
            return slots * STEP_MS * (1 - load);
        }));
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
     * @param stepCapacityMs free slot time of a step that begins after a time from now, both in ms
     * @return the time from now, in ms; the maximum when no step before it has capacity
     */
    long reserve(long nowMs, long earliestMs, long maxMs, double workMs, LongToDoubleFunction stepCapacityMs) {
        clearBefore(Math.floorDiv(nowMs, STEP_MS));
        long endStep = Math.min(firstStep + STEPS, Math.floorDiv(nowMs + maxMs, STEP_MS));
        for (long step = stepAt(nowMs + earliestMs); step < endStep; step++) {
            if (reservedMs[index(step)] < stepCapacityMs.applyAsDouble(step * STEP_MS - nowMs)) {
                take(step, nowMs, workMs, stepCapacityMs);
                return step * STEP_MS - nowMs;
            }
        }
        return maxMs;
    }

    private void take(long fromStep, long nowMs, double workMs, LongToDoubleFunction stepCapacityMs) {
        double leftMs = workMs;
        for (long step = fromStep; step < firstStep + STEPS && leftMs > 0; step++) {
            double freeMs = stepCapacityMs.applyAsDouble(step * STEP_MS - nowMs) - reservedMs[index(step)];
            double takenMs = Math.min(leftMs, Math.max(0, freeMs));
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
