package org.wingstall.core.estimate;

/**
 * Learns how a time grows with a size, from pairs of both: a straight line through the recent ones. Not safe for use on
 * several threads.
 *
 * <p>{@code LinearTrend trend = new LinearTrend(60, 0.02, 4000); trend.observed(2500, 130); trend.at(1000)}
 *
 * @since 0.5
 */
public final class LinearTrend {
    /** Weight that an observation keeps with each later one: the last hundred or so count. */
    private static final double KEPT = 0.99;

    /** Observations that each end of the line assumed at first counts as; a handful of real ones outweighs it. */
    private static final double ASSUMED_WEIGHT = 2;

    /** Part of the line's own value beyond which an observation is an outlier, such as a stall, and is cut. */
    private static final double MOST_RATIO = 4;

    private double weight;
    private double sizes;
    private double values;
    private double sizesSquared;
    private double products;

    /**
     * Creates a trend that starts from an assumption.
     *
     * @param base assumed value at size 0
     * @param slope assumed growth for each unit of size
     * @param usualSize a usual size, where the assumption counts as well
     */
    public LinearTrend(double base, double slope, double usualSize) {
        add(0, base, ASSUMED_WEIGHT);
        add(usualSize, base + slope * usualSize, ASSUMED_WEIGHT);
    }

    /** Records a value that was seen at a size. */
    public void observed(double size, double value) {
        double most = MOST_RATIO * Math.max(1, at(size));
        weight *= KEPT;
        sizes *= KEPT;
        values *= KEPT;
        sizesSquared *= KEPT;
        products *= KEPT;
        add(size, Math.max(0, Math.min(most, value)), 1);
    }

    private void add(double size, double value, double count) {
        weight += count;
        sizes += count * size;
        values += count * value;
        sizesSquared += count * size * size;
        products += count * size * value;
    }

    /** Returns the growth for each unit of size, at least 0. */
    public double slope() {
        double spread = weight * sizesSquared - sizes * sizes;
        return spread <= 0 ? 0 : Math.max(0, (weight * products - sizes * values) / spread);
    }

    /** Returns the value at size 0, at least 0. */
    public double base() {
        return Math.max(0, (values - slope() * sizes) / weight);
    }

    /** Returns the expected value at a size. */
    public double at(double size) {
        return base() + slope() * size;
    }
}
