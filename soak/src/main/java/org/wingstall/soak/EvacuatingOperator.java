package org.wingstall.soak;

import java.util.SplittableRandom;

/**
 * The operator of a seed who evacuates one failure domain while faults come and go, and takes it back.
 *
 * <p>{@code new EvacuatingOperator(7, fleet, observations).play(end)} returns when the failure domain is taken back.
 *
 * @since 0.8
 */
final class EvacuatingOperator {
    /** Longest time until the evacuation begins, in ms. */
    private static final long MOST_BEGIN_MS = 2000;

    /** Time for which it lasts beyond the time in which it has to be obeyed, in ms, so that some of it is checked. */
    private static final long CHECKED_MS = 3500;

    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;

    EvacuatingOperator(long seed, SoakFleet fleet, Observations observations) {
        this.random = new SplittableRandom(seed);
        this.fleet = fleet;
        this.observations = observations;
    }

    void play(RunEnd end) throws InterruptedException {
        String domain = SoakFleet.DOMAINS.get(random.nextInt(SoakFleet.DOMAINS.size()));
        end.within(random.nextLong(MOST_BEGIN_MS));
        fleet.evacuate(domain);
        long fromMs = observations.nowMs();
        end.within(Promises.EVACUATION_MS + CHECKED_MS);
        observations.evacuated(new Evacuation(domain, fromMs, observations.nowMs()));
        fleet.takeBack(domain);
    }
}
