package org.wingstall.soak;

import java.util.SplittableRandom;
import org.wingstall.soak.SoakFleet.Endpoint;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.LimitLog;

/**
 * An endpoint of a seed that says while it serves that it has turned cold, and is warm again some time later.
 *
 * <p>{@code new ColdAgain(7, fleet, observations).play(end)} returns when it is warm.
 *
 * @since 0.9
 */
final class ColdAgain {
    /** Boxes in touch know within 3 s that it is cold; it bears its rate in any second from then on. */
    static final LimitLog.Rule RULE = new LimitLog.Rule(1000, 1, 0, 3000, 0);

    /** Longest time until it turns cold, in ms. */
    private static final long MOST_BEGIN_MS = 4000;

    /** Time for which it stays cold, in ms: until all have to know of it, and some spans in which requests count. */
    private static final long COLD_MS = 8000;

    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;

    ColdAgain(long seed, SoakFleet fleet, Observations observations) {
        this.random = new SplittableRandom(-seed);
        this.fleet = fleet;
        this.observations = observations;
    }

    void play(RunEnd end) throws InterruptedException {
        Endpoint endpoint = fleet.lasting(ColdReturns.SERVICE).get(0);
        endpoint.worker().recordIn(observations.coldAgain());
        end.within(random.nextLong(MOST_BEGIN_MS));
        fleet.turnCold(endpoint, COLD_MS);
        observations.coldAgain().stated(endpoint.id(), FleetStandin.COLD_PER_SECOND);
        end.within(COLD_MS);
        observations.coldAgain().cleared(endpoint.id());
    }
}
