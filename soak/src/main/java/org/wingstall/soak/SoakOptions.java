package org.wingstall.soak;

import java.nio.file.Path;

/**
 * What a soak of one seed is made of.
 *
 * <p>{@code new SoakRun(new SoakOptions(7, 3, 12, 12_000, 500, folder)).play()}
 *
 * @param seed decides faults, their times and targets
 * @param boxes gateway processes
 * @param callers callers that send one request after another
 * @param faultsMs time within which faults begin, in ms
 * @param slackMs what bounds in time are stretched by on a machine that is busy otherwise, in ms
 * @param folder takes settings and logs of the processes
 * @since 0.3
 */
public record SoakOptions(long seed, int boxes, int callers, long faultsMs, long slackMs, Path folder) {
    /** Returns whether the gateways read the store as often as with the shipped settings, not as the stand-ins' tests. */
    boolean shippedIntervals() {
        return seed % 2 == 0;
    }
}
