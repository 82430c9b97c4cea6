package org.wingstall.relay.pool;

import org.wingstall.core.answer.RetryTime;

/**
 * Decides when the callers of rejected groups are asked to retry.
 *
 * <p>{@code RetryTime time = retryTimes.retryTime(rejected, context, nowMs);}
 *
 * @since 0.16
 */
public interface RetryTimes {
    /**
     * Returns the retry time of a rejected group. Of groups that are rejected together, more urgent ones come first.
     *
     * @param rejected the group, and when the pool has worked off what it has accepted
     * @param context forecast and load of the pool
     * @param nowMs monotonic clock, in ms
     */
    RetryTime retryTime(PoolAdmission.RejectedGroup rejected, AdmissionContext context, long nowMs);

    /** The same time for all groups that are rejected together; relies on jitter to spread the callers. */
    RetryTimes UNIFORM = (rejected, context, nowMs) -> RetryTime.estimated(rejected.retryAfterMs());
}
