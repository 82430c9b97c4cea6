package org.wingstall.relay.engine;

/**
 * Estimates the slowdown factor from two moving averages: a base over some tens of answers, and a recent one over about
 * a second, which applies while it is slower than the base by more than noise. Both are relative to the estimate of the
 * service; limits and likeness of engines are relative to the mean of its engines. Confined to the request loop.
 *
 * <p>{@code slowdown.record(new Sample(100, 20, 120, 270), nowMs); slowdown.factor(nowMs)}
 */
final class TwoScaleSlowdown implements EngineSlowdown {
    /** Lower limit of the factor, so that a fast engine is not overloaded before its queue is known. */
    private static final double MIN_FACTOR = 0.25;

    /** Upper limit of the factor; an engine beyond it is the last choice in any case. */
    private static final double MAX_FACTOR = 8;

    /** Lower limit of a sample, which applies when the wait was overestimated. */
    private static final double MIN_SAMPLE = 0.1;

    /** Upper limit of a sample, so that a single stall hardly moves the averages. */
    private static final double MAX_SAMPLE = 8;

    /** Distance from 1 up to which engines are alike, so that noise decides nothing among equal engines. */
    private static final double ALIKE_WITHIN = 0.1;

    /** Least weight of a sample in the base, which thus covers about thirty answers. */
    private static final double BASE_WEIGHT = 1.0 / 30;

    /** Weight of the initial factor of 1, in answers, so that a single answer says little about a new engine. */
    private static final double PRIOR_ANSWERS = 4;

    /** Time constant of the recent average, in ms; after three times this time a sample hardly counts. */
    private static final double RECENT_MS = 600;

    /**
     * Weight of the base in the recent average, in answers, so that the average returns to the base when an avoided
     * engine gives no answers.
     */
    private static final double RECENT_PRIOR = 0.5;

    /** Least excess of the recent average over the base, as a fraction, for it to apply. */
    private static final double MIN_EXCESS = 0.25;

    /** Excess for the recent average to apply, in standard errors of it. */
    private static final double EXCESS_ERRORS = 2;

    private final SlowdownMean mean;
    private double base;
    private double answers = PRIOR_ANSWERS;
    private double deviation;
    private double recentSum;
    private double recentWeight;
    private long recentAsOfMs;

    /** Creates the estimate of an engine about which nothing is known. */
    TwoScaleSlowdown(SlowdownMean mean) {
        this.mean = mean;
        this.base = mean.value();
        mean.add(base);
    }

    @Override
    public double factor(long nowMs) {
        double relative = current(nowMs) / mean.value();
        boolean alike = Math.abs(relative - 1) <= ALIKE_WITHIN;
        return mean.value() * (alike ? 1 : clamp(relative, MIN_FACTOR, MAX_FACTOR));
    }

    @Override
    public double decodeFactor(long nowMs) {
        return factor(nowMs);
    }

    /** Returns the recent average while it is slower than the base by more than noise, otherwise the base. */
    private double current(long nowMs) {
        double decay = decay(nowMs);
        double weight = recentWeight * decay;
        double recent = (recentSum * decay + RECENT_PRIOR * base) / (weight + RECENT_PRIOR);
        double excess = Math.max(MIN_EXCESS * base, EXCESS_ERRORS * deviation / Math.sqrt(weight + RECENT_PRIOR));
        return recent > base + excess ? recent : base;
    }

    @Override
    public double relativeToMean() {
        return base / mean.value();
    }

    @Override
    public double record(Sample sample, long nowMs) {
        double weight = sample.weight();
        double relative = sample.ownMs() / Math.max(1, sample.expectedMs()) / mean.value();
        double ratio = mean.value() * clamp(relative, MIN_SAMPLE, MAX_SAMPLE);
        double usualMs = sample.ownMs() / base;
        answers += weight;
        double step = weight * Math.max(BASE_WEIGHT, 1 / answers);
        deviation += step * (Math.abs(ratio - base) - deviation);
        double before = base;
        base += step * (ratio - base);
        mean.replace(before, base);
        double decay = decay(nowMs);
        recentSum = recentSum * decay + weight * ratio;
        recentWeight = recentWeight * decay + weight;
        recentAsOfMs = nowMs;
        return usualMs;
    }

    @Override
    public void retire() {
        mean.remove(base);
    }

    private double decay(long nowMs) {
        return Math.exp((recentAsOfMs - nowMs) / RECENT_MS);
    }

    private static double clamp(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }
}
