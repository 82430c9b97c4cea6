package org.wingstall.core.estimate;

/**
 * Learns how a time grows with a size, from pairs of both: a straight line through the recent ones. Not safe for use on
 * several threads.
 *
 * <p>{@code OnlineLinearRegression trend = new OnlineLinearRegression(60, 0.02, 4000); trend.observed(2500, 130); trend.at(1000)}
 *
 * @since 0.5
 */
public final class OnlineLinearRegression {
    /** Weight that an observation keeps with each later one: the last hundred or so count. */
    private static final double DECAY = 0.99;

    /** Observations that each end of the line assumed at first counts as; a handful of real ones outweighs it. */
    private static final double PRIOR_WEIGHT = 2;

    /** FleetBudget of the line's own value beyond which an observation is an outlier, such as a stall, and is cut. */
    private static final double MAX_OUTLIER_RATIO = 4;

    private double weightSum;
    private double sizeSum;
    private double valueSum;
    private double sizeSquaredSum;
    private double productSum;

    /**
     * Creates a trend that starts from an assumption.
     *
     * @param base assumed value at size 0
     * @param slope assumed growth for each unit of size
     * @param usualSize a usual size, where the assumption counts as well
     */
    public OnlineLinearRegression(double intercept, double slope, double typicalSize) {
        add(0, intercept, PRIOR_WEIGHT);
        add(typicalSize, intercept + slope * typicalSize, PRIOR_WEIGHT);
    }

    /** Records a value that was seen at a size. */
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

    /** Returns the growth for each unit of size, at least 0. */
    public double slope() {
        double spread = weightSum * sizeSquaredSum - sizeSum * sizeSum;
        return spread <= 0 ? 0 : Math.max(0, (weightSum * productSum - sizeSum * valueSum) / spread);
    }

    /** Returns the value at size 0, at least 0. */
    public double intercept() {
        return Math.max(0, (valueSum - slope() * sizeSum) / weightSum);
    }

    /** Returns the expected value at a size. */
    public double predict(double size) {
        return intercept() + slope() * size;
    }
}
