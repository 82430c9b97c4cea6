package org.wingstall.soak;

import java.util.List;
import java.util.SplittableRandom;
import org.wingstall.soak.SoakFleet.Endpoint;

/**
 * Lets the endpoints of a seed send some of their answers once more, in the place where the next answer is due.
 *
 * <p>{@code new RepeatingEndpoints(7, fleet).play(end)} returns when they no longer do.
 *
 * @since 0.19
 */
final class RepeatingEndpoints {
    private static final List<String> SERVICES = List.of("engine", "plain", "warming-plain", "first", "second");

    /** Longest time until they begin, in ms. */
    private static final long MAX_BEGIN_MS = 1500;

    /** Time for which they do so, in ms. */
    private static final long REPEATING_MS = 8000;

    /** One answer in so many comes once more. */
    private static final List<Integer> ONE_IN = List.of(2, 4, 8);

    private final SplittableRandom random;
    private final SoakFleet fleet;

    RepeatingEndpoints(long seed, SoakFleet fleet) {
        this.random = new SplittableRandom(seed * 73);
        this.fleet = fleet;
    }

    void play(RunEnd end) throws InterruptedException {
        end.within(random.nextLong(MAX_BEGIN_MS));
        int oneIn = ONE_IN.get(random.nextInt(ONE_IN.size()));
        List<Endpoint> repeating = SERVICES.stream()
                .flatMap(service -> fleet.lasting(service).stream())
                .toList();
        repeating.forEach(endpoint -> endpoint.worker().surplusAnswers().repeatOneIn(oneIn));
        end.within(REPEATING_MS);
        repeating.forEach(endpoint -> endpoint.worker().surplusAnswers().repeatOneIn(0));
    }
}
