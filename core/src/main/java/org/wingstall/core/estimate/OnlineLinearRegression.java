package org.wingstall.core.estimate;

/**
 * Estimates a duration as a linear function of a size from recent observations. Not thread-safe.
 *
 * <p>{@code OnlineLinearRegression regression = new OnlineLinearRegression(60, 0.02, 4000);}
 * {@code regression.observe(2500, 130); double expectedMs = regression.predict(1000);}
 *
 * @since 0.5
 */
public final class OnlineLinearRegression {
    /** Factor by which each new observation reduces the weight of older ones; about the last 100 observations count. */
    private static final double DECAY = 0.99;

    /** Weight of each of the two points of the prior, in observations; a handful of real observations outweighs it. */
    private static final double PRIOR_WEIGHT = 2;

    /** Ratio to the predicted value above which an observation is an outlier, such as a stall, and is clamped. */
    private static final double MAX_OUTLIER_RATIO = 4;

    private double weightSum;
    private double sizeSum;
    private double valueSum;
    private double sizeSquaredSum;
    private double productSum;

    /**
     * Creates a regression with a prior.
     *
     * @param intercept prior value at size 0
     * @param slope prior increase per unit of size
     * @param typicalSize a typical size; the prior consists of the points at size 0 and at this size
     */
    public OnlineLinearRegression(double intercept, double slope, double typicalSize) {
        add(0, intercept, PRIOR_WEIGHT);
        add(typicalSize, intercept + slope * typicalSize, PRIOR_WEIGHT);
    }

    /** Records an observed value at a size. */
    public void observe(double size, double value) {
        double maxValue = MAX_OUTLIER_RATIO * Math.max(1, predict(size));
        weightSum *= DECAY;
        sizeSum *= DECAY;
        valueSum *= DECAY;
        sizeSquaredSum *= DECAY;
        productSum *= DECAY;
        add(size, Math.max(0, Math.min(maxValue, value)), 1);
    }

    private void add(double size, double value, double count) {
        weightSum += count;
        sizeSum += count * size;
        valueSum += count * value;
        sizeSquaredSum += count * size * size;
        productSum += count * size * value;
    }

    /** Returns the increase per unit of size, at least 0. */
    public double slope() {
        double spread = weightSum * sizeSquaredSum - sizeSum * sizeSum;
        return spread <= 0 ? 0 : Math.max(0, (weightSum * productSum - sizeSum * valueSum) / spread);
    }

    /** Returns the value at size 0, at least 0. */
    public double intercept() {
        return Math.max(0, (valueSum - slope() * sizeSum) / weightSum);
    }

    /** Returns the predicted value at a size. */
    public double predict(double size) {
        return intercept() + slope() * size;
    }
}
