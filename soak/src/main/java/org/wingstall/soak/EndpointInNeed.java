package org.wingstall.soak;

import java.util.List;
import java.util.SplittableRandom;
import org.wingstall.soak.SoakFleet.Endpoint;

/**
 * An endpoint of a seed that states a limit while faults come and go, changes it, and takes it back.
 *
 * <p>{@code new EndpointInNeed(7, fleet).play(end)} returns when the endpoint states none any more.
 *
 * @since 0.9
 */
final class EndpointInNeed {
    /** Longest time until the endpoint states its first rate, in ms. */
    private static final long MOST_BEGIN_MS = 2000;

    /** Time for which it states each rate, in ms: until it has to be kept, and a span in which requests count. */
    private static final long EACH_MS = 5500;

    private static final List<String> SERVICES = List.of("engine", "plain", "first");
    private static final double[] RATES = {0, 0.3, 1, 3};

    private final SplittableRandom random;
    private final SoakFleet fleet;

    EndpointInNeed(long seed, SoakFleet fleet) {
        this.random = new SplittableRandom(~seed);
        this.fleet = fleet;
    }

    void play(RunEnd end) throws InterruptedException {
        String service = SERVICES.get(random.nextInt(SERVICES.size()));
        Endpoint endpoint = fleet.lasting(service).get(0);
        end.within(random.nextLong(MOST_BEGIN_MS));
        for (int i = 0; i < 2; i++) {
            double requestsPerSecond = RATES[random.nextInt(RATES.length)];
            endpoint.worker().limit(Double.toString(requestsPerSecond), requestsPerSecond);
            end.within(EACH_MS);
        }
        endpoint.worker().clearLimit();
    }
}
