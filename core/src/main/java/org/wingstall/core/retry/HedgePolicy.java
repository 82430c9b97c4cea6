package org.wingstall.core.retry;

import java.util.OptionalLong;
import org.wingstall.core.admit.StageTimes;
import org.wingstall.schema.settings.Policy;

/**
 * Decides when a call without progress is also sent to a second endpoint (hedged), while the first call continues.
 *
 * <p>{@code HedgePolicy.of(policy).delayMs(times).ifPresent(delayMs -> schedule(delayMs));}
 *
 * @since 0.1
 */
public interface HedgePolicy {
    /**
     * Returns the delay between a call and its hedge.
     *
     * @param times recent times from a call to the first progress of its response
     * @return the delay in ms, or empty if the call is not hedged
     */
    OptionalLong delayMs(StageTimes times);

    /** Returns the policy selected in the settings. */
    static HedgePolicy of(Policy policy) {
        return policy.getHedgeBudgetPercent() > 0 ? new QuantileHedgePolicy(policy.getHedgeQuantile()) : new NoHedge();
    }
}
