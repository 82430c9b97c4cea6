package org.wingstall.soak;

import java.util.List;
import java.util.SplittableRandom;
import org.wingstall.net.BindException;
import org.wingstall.soak.SoakFleet.Endpoint;

/**
 * A further endpoint of a seed that rejects requests for some time and asks for pauses, takes requests again, and then leaves
 * without any word but in its answers.
 *
 * <p>{@code new StatingEndpoint(7, fleet, observations).play(end)} returns when it has left.
 *
 * @since 0.10
 */
final class StatingEndpoint {
    /** Longest time until it rejects requests, in ms. */
    private static final long MOST_BEGIN_MS = 2000;

    /** Time for which it rejects requests, in ms: some of its longest pauses. */
    private static final long SHEDDING_MS = 5000;

    /** Time for which it takes requests again, in ms. */
    private static final long SERVING_MS = 1500;

    /** Time for which it leaves while callers send, in ms: until it is to get nothing, and some more. */
    private static final long LEAVING_MS = 5000;

    private static final List<String> PAUSES_S = List.of("0.8", "1.5", "3");

    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;

    StatingEndpoint(long seed, SoakFleet fleet, Observations observations) {
        this.random = new SplittableRandom(seed * 31);
        this.fleet = fleet;
        this.observations = observations;
    }

    void play(RunEnd end) throws InterruptedException, BindException {
        boolean engine = random.nextBoolean();
        Endpoint endpoint = fleet.add(engine ? "engine" : "plain", engine ? SoakFleet.EVENTS : 0);
        endpoint.worker().recordIn(observations.statements());
        end.within(random.nextLong(MOST_BEGIN_MS));
        endpoint.worker().shed(PAUSES_S.get(random.nextInt(PAUSES_S.size())));
        end.within(SHEDDING_MS);
        endpoint.worker().takeRequests();
        end.within(SERVING_MS);
        endpoint.worker().leave();
        end.within(LEAVING_MS);
    }
}
