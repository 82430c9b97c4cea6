package org.wingstall.soak;

import java.util.SplittableRandom;
import org.wingstall.net.BindException;
import org.wingstall.soak.SoakFleet.Endpoint;
import org.wingstall.standin.fleet.StoreStandin;

/**
 * The store of a seed that is away for a moment and comes back from a copy some seconds old; operators and endpoints write
 * again what was lost, boxes do so themselves. An endpoint leaves when the store has been back for a while.
 *
 * <p>{@code new RestoredStore(7, fleet, observations).play(end)} returns when that endpoint has left.
 *
 * @since 0.10
 */
final class RestoredStore {
    /** Longest time until the copy is made, in ms. */
    private static final long MOST_BEGIN_MS = 2000;

    /** Time for all boxes to have read of the lost writes, in ms. */
    private static final long LEAST_AGE_MS = 500;

    /** Longest further time by which the copy is older than the store, in ms. */
    private static final long MOST_AGE_MS = 3000;

    /** Time for which the store is away, in ms. */
    private static final long AWAY_MS = 800;

    /** Time from its return until others write again, in ms. */
    private static final long REPEATED_MS = 1000;

    /** Time after all is written again from which bounds in time hold, in ms. */
    private static final long CALM_MS = 3200;

    /** Time for which callers send while the endpoint leaves, in ms. */
    private static final long LEAVING_MS = 4000;

    /** Writes of boxes that are lost, so that versions stay below those known before for the rest of the run. */
    private static final int LOST_WRITES = 100;

    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;

    RestoredStore(long seed, SoakFleet fleet, Observations observations) {
        this.random = new SplittableRandom(seed * 37);
        this.fleet = fleet;
        this.observations = observations;
    }

    void play(RunEnd end) throws InterruptedException, BindException {
        StoreStandin store = fleet.store();
        Endpoint endpoint = fleet.add("plain", 0);
        end.within(random.nextLong(MOST_BEGIN_MS));
        store.copy();
        for (int i = 0; i < LOST_WRITES; i++) {
            store.writeOfBox("others", "row-" + i, "{}");
        }
        end.within(LEAST_AGE_MS + random.nextLong(MOST_AGE_MS));
        long fromMs = observations.nowMs();
        store.mode(StoreStandin.Mode.RESET);
        end.within(AWAY_MS);
        store.restore();
        store.mode(StoreStandin.Mode.SERVING);
        end.within(REPEATED_MS);
        store.repeatLostWrites();
        observations.disturbed(
                new Disturbance(Disturbance.STORE, "STORE_RESTORED", false, fromMs, observations.nowMs()));
        end.within(CALM_MS);
        fleet.list(endpoint, "draining");
        end.within(LEAVING_MS);
    }
}
