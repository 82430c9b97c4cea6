package org.wingstall.core.retry;

import java.util.OptionalLong;
import org.wingstall.core.admit.StageTimes;

/** Never hedges a call. */
final class NoHedge implements HedgePolicy {
    @Override
    public OptionalLong delayMs(StageTimes times) {
        return OptionalLong.empty();
    }
}
