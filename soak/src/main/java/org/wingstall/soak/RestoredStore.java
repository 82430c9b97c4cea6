package org.wingstall.soak;

import java.util.SplittableRandom;
import org.wingstall.standin.fleet.StoreStandin;

/**
 * The store of a seed that is away for a moment and comes back from a copy some seconds old; operators and endpoints write
 * again what was lost, boxes do so themselves.
 *
 * <p>{@code new RestoredStore(7, fleet, observations).play(end)} returns when all is written again.
 *
 * @since 0.10
 */
final class RestoredStore {
    /** Longest time until the copy is made, in ms. */
    private static final long MOST_BEGIN_MS = 4000;

    /** Longest time by which the copy is older than the store, in ms. */
    private static final long MOST_AGE_MS = 4000;

    /** Time for which the store is away, in ms. */
    private static final long AWAY_MS = 800;

    /** Time from its return until others write again, in ms. */
    private static final long REPEATED_MS = 1000;

    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;

    RestoredStore(long seed, SoakFleet fleet, Observations observations) {
        this.random = new SplittableRandom(seed * 37);
        this.fleet = fleet;
        this.observations = observations;
    }

    void play(RunEnd end) throws InterruptedException {
        StoreStandin store = fleet.store();
        end.within(random.nextLong(MOST_BEGIN_MS));
        store.copy();
        end.within(random.nextLong(MOST_AGE_MS));
        long fromMs = observations.nowMs();
        store.mode(StoreStandin.Mode.RESET);
        end.within(AWAY_MS);
        store.restore();
        store.mode(StoreStandin.Mode.SERVING);
        end.within(REPEATED_MS);
        store.repeatLostWrites();
        observations.disturbed(
                new Disturbance(Disturbance.STORE, "STORE_RESTORED", false, fromMs, observations.nowMs()));
    }
}
