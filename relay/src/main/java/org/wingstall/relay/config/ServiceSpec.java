package org.wingstall.relay.config;

import java.util.Optional;

/**
 * A service of the configuration.
 *
 * <p>{@code config.service("pay-ledger").pool().map(PoolSpec::batch)}
 *
 * @param name its name
 * @param maxConnections connections that one endpoint takes from all boxes together
 * @param slots requests that one endpoint runs at once; 0 when only the endpoints say
 * @param pool what its endpoints can do, when it does the work of stages
 * @param engine what its endpoints can do, when they are model engines
 * @param cold capacity of its endpoints while they are cold, when that is less than usual
 * @since 0.2
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        int slots,
        Optional<PoolSpec> pool,
        Optional<EngineSpec> engine,
        Optional<ColdStartSpec> coldStart) {}
