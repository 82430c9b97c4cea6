package org.wingstall.core.retry;

import java.util.OptionalLong;
import org.wingstall.core.admit.StageTimes;

/** Never calls a second endpoint while the first one may still answer. */
final class NoHedge implements HedgePolicy {
    @Override
    public OptionalLong delayMs(StageTimes times) {
        return OptionalLong.empty();
    }
}
