package org.wingstall.relay.engine;

/**
 * Mean of the slowdowns of one service's engines, relative to which an engine is slow or fast. Confined to the request
 * loop.
 *
 * <p>The times that the service's estimate learns are not divided by the mean: doing so made the estimate grow without
 * limit, since the slowdowns of rarely selected engines did not follow its changes.
 */
final class SlowdownMean {
    private double sum;
    private int engines;

    /** Adds an engine. */
    void add(double slowdown) {
        sum += slowdown;
        engines++;
    }

    /** Removes an engine. */
    void remove(double slowdown) {
        sum -= slowdown;
        engines--;
    }

    /** Replaces the value of an engine. */
    void replace(double before, double after) {
        sum += after - before;
    }

    /** Returns the mean; 1 without any engine. */
    double value() {
        return engines == 0 ? 1 : sum / engines;
    }
}
