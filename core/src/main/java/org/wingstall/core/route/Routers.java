package org.wingstall.core.route;

import java.util.random.RandomGenerator;
import org.wingstall.schema.settings.Policy;

/**
 * Creates the router selected in the settings.
 *
 * <p>{@code Router router = Routers.of(settings.getPolicy(), ThreadLocalRandom.current());}
 *
 * @since 0.1
 */
public final class Routers {
    /** Time that an engine needs to process one block of a prompt, in ms; a warm block saves this time. */
    private static final double PREFIX_BLOCK_MS = 2;

    private Routers() {}

    /**
     * Creates a router.
     *
     * @param policy policy settings
     * @param random random generator, thread-safe
     * @return the router
     */
    public static Router of(Policy policy, RandomGenerator random) {
        return switch (policy.getRouting()) {
            case ROUND_ROBIN -> new RoundRobinRouter();
            case LEAST_IN_FLIGHT -> new LeastInFlightRouter(random);
            case POWER_OF_TWO -> new PowerOfTwoRouter(random);
            case EXPECTED_TIME -> new ExpectedTimeRouter(random, policy.isPrefixAffinity(), PREFIX_BLOCK_MS);
        };
    }
}
