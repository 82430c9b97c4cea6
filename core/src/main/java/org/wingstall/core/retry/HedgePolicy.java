package org.wingstall.core.retry;

import java.util.OptionalLong;
import org.wingstall.core.admit.StageTimes;
import org.wingstall.schema.settings.Policy;

/**
 * Says when a call that has shown no sign of an answer is tried at a second endpoint as well, the first one going on.
 *
 * <p>{@code HedgePolicy.of(policy).delayMs(times).ifPresent(delayMs -> schedule(delayMs));}
 *
 * @since 0.1
 */
public interface HedgePolicy {
    /**
     * Returns the time from the call to the second one.
     *
     * @param times recent times from call to first sign of an answer
     * @return the time in ms, or empty when there is to be no second call
     */
    OptionalLong delayMs(StageTimes times);

    /** Returns the policy that the settings ask for. */
    static HedgePolicy of(Policy policy) {
        return policy.getHedgeBudgetPercent() > 0 ? new QuantileHedgePolicy(policy.getHedgeQuantile()) : new NoHedge();
    }
}
