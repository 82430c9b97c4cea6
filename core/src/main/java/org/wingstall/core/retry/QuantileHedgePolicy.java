package org.wingstall.core.retry;

import java.util.OptionalLong;
import org.wingstall.core.admit.StageTimes;

/** Hedges a call that takes longer than a quantile of recent calls; never hedges until enough samples are measured. */
final class QuantileHedgePolicy implements HedgePolicy {
    private static final long MIN_DELAY_MS = 10;

    private final double quantile;

    QuantileHedgePolicy(double quantile) {
        this.quantile = quantile;
    }

    @Override
    public OptionalLong delayMs(StageTimes times) {
        if (!times.hasEnoughSamples()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(MIN_DELAY_MS, (long) times.quantileMs(quantile)));
    }
}
