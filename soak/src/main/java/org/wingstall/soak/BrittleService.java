package org.wingstall.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.wingstall.soak.SoakFleet.Endpoint;
import org.wingstall.standin.fleet.BrittleRoom;

/**
 * Lets all endpoints of the plain service of a seed say that they are brittle, and take fewer requests some time later.
 *
 * <p>{@code new BrittleService(7, fleet, observations).play(end)} returns when they are sound again.
 *
 * @since 0.16
 */
final class BrittleService {
    private static final String SERVICE = "plain";

    /** Longest time until they say so, in ms. */
    private static final long MAX_BEGIN_MS = 1500;

    /** Time from which they take fewer requests, in ms; the platform's own figure. */
    private static final long HEEDED_MS = 3000;

    /** Time for which they take fewer, in ms. */
    private static final long FEW_MS = 4000;

    private static final int MANY_PLACES = 64;
    private static final int FEW_PLACES = 1;
    private static final long WORK_MS = 40;
    private static final List<Integer> MAX_REJECTIONS_PER_SECOND = List.of(2, 4, 8);

    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;

    BrittleService(long seed, SoakFleet fleet, Observations observations) {
        this.random = new SplittableRandom(seed * 71);
        this.fleet = fleet;
        this.observations = observations;
    }

    void play(RunEnd end) throws InterruptedException {
        end.within(random.nextLong(MAX_BEGIN_MS));
        int maxRejections = MAX_REJECTIONS_PER_SECOND.get(random.nextInt(MAX_REJECTIONS_PER_SECOND.size()));
        List<Endpoint> endpoints = fleet.lasting(SERVICE);
        endpoints.forEach(endpoint -> turn(endpoint, MANY_PLACES, maxRejections));
        end.within(HEEDED_MS);
        long fromMs = observations.nowMs();
        endpoints.forEach(endpoint -> turn(endpoint, FEW_PLACES, maxRejections));
        end.within(FEW_MS);
        observations.brittle(new BrittleSpan(
                endpoints.stream().map(Endpoint::id).collect(Collectors.toSet()),
                maxRejections,
                fromMs,
                observations.nowMs()));
        endpoints.forEach(endpoint -> endpoint.worker().turnBrittle(null));
    }

    private static void turn(Endpoint endpoint, int places, int maxRejectionsPerSecond) {
        endpoint.worker().turnBrittle(new BrittleRoom(places, WORK_MS, maxRejectionsPerSecond));
    }
}
