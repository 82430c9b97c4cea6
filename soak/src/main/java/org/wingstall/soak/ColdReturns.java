package org.wingstall.soak;

import java.util.SplittableRandom;
import org.wingstall.net.BindException;
import org.wingstall.soak.SoakFleet.Endpoint;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.LimitLog;

/**
 * Endpoints of a seed that start while faults come and go, and bear few requests until they are warm.
 *
 * <p>{@code new ColdReturns(7, fleet, observations).play(end)} returns when all of them are warm.
 *
 * @since 0.9
 */
final class ColdReturns {
    /** Service whose endpoints start cold. */
    static final String SERVICE = "warming-plain";

    /** A cold endpoint bears its rate in any second, as the settings of the boxes say, from its first entry on. */
    static final LimitLog.Rule RULE = new LimitLog.Rule(1000, 1, 0, 0, 0);

    private static final int RETURNS = 3;
    private static final long LEAST_PAUSE_MS = 300;
    private static final long MOST_PAUSE_MS = 1500;

    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;

    ColdReturns(long seed, SoakFleet fleet, Observations observations) {
        this.random = new SplittableRandom(seed ^ SERVICE.hashCode());
        this.fleet = fleet;
        this.observations = observations;
    }

    void play(RunEnd end) throws InterruptedException, BindException {
        for (int i = 0; i < RETURNS; i++) {
            end.within(random.nextLong(LEAST_PAUSE_MS, MOST_PAUSE_MS));
            Endpoint endpoint = fleet.addCold(SERVICE);
            observations.cold().stated(endpoint.id(), FleetStandin.COLD_PER_SECOND);
            end.within(FleetStandin.COLD_START_MS);
            observations.cold().cleared(endpoint.id());
        }
    }
}
