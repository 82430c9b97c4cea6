package org.wingstall.core.route;

import java.util.random.RandomGenerator;
import org.wingstall.schema.settings.Policy;

/**
 * Makes the router that the settings name.
 *
 * <p>{@code Router router = Routers.of(settings.getPolicy(), ThreadLocalRandom.current());}
 *
 * @since 0.1
 */
public final class Routers {
    /** Time that an engine needs to read one block of a prompt, in ms; what a warm block saves. */
    private static final double PREFIX_BLOCK_MS = 2;

    private Routers() {}

    /**
     * Returns a router.
     *
     * @param policy settings of the policy
     * @param random source of chance, safe for several threads
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
