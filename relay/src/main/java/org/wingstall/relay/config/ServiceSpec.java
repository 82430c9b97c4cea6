package org.wingstall.relay.config;

import java.util.Optional;

/**
 * Capacity of one service, as configured.
 *
 * <p>{@code config.service("pay-ledger").pool().map(PoolSpec::maxBatchSize)}
 *
 * @param name its name
 * @param maxConnections connections that one endpoint takes from all boxes together
 * @param slots requests that one endpoint runs at once; 0 when the endpoints report it
 * @param pool capacity of its endpoints, if it runs stages
 * @param engine capacity of its endpoints, if they are model engines
 * @param coldStart capacity of its endpoints after their start, if it is reduced
 * @since 0.2
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        int slots,
        Optional<PoolSpec> pool,
        Optional<EngineSpec> engine,
        Optional<ColdStartSpec> coldStart) {}
