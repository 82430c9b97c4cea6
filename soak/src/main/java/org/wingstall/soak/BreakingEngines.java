package org.wingstall.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.wingstall.net.BindException;
import org.wingstall.soak.SoakFleet.Endpoint;
import org.wingstall.standin.fleet.WorkerStandin.Behaviour;

/**
 * Further engines of a seed, of two software versions, of which some break their streams off for a time.
 *
 * <p>{@code new BreakingEngines(7, fleet, observations).play(end)} returns when all are sound again.
 *
 * @since 0.16
 */
final class BreakingEngines {
    /** Engines of both versions that stay sound: two of each, whatever happens to the others. */
    private static final int SOUND = 4;

    private static final int BREAKING = 2;

    /** Time for which they break streams off, in ms. */
    private static final long BREAKING_MS = 6000;

    private static final List<Behaviour> BEHAVIOURS = List.of(Behaviour.CUTS_ANSWER, Behaviour.ENDS_INSIDE_EVENT);

    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;

    BreakingEngines(long seed, SoakFleet fleet, Observations observations) {
        this.random = new SplittableRandom(seed * 67);
        this.fleet = fleet;
        this.observations = observations;
    }

    void play(RunEnd end) throws InterruptedException, BindException {
        for (int i = 0; i < SOUND; i++) {
            fleet.add("engine", SoakFleet.EVENTS);
        }
        List<Endpoint> breaking = new ArrayList<>();
        for (int i = 0; i < BREAKING; i++) {
            Endpoint engine = fleet.add("engine", SoakFleet.EVENTS);
            engine.worker().behave(BEHAVIOURS.get(random.nextInt(BEHAVIOURS.size())));
            breaking.add(engine);
            long nowMs = observations.nowMs();
            observations.disturbed(
                    new Disturbance(engine.id(), "ENGINE_BREAKS_OFF", false, nowMs, nowMs + BREAKING_MS));
        }
        end.within(BREAKING_MS);
        breaking.forEach(engine -> engine.worker().behave(Behaviour.ANSWERS));
    }
}
