package org.wingstall.relay.pool;

import io.netty.channel.EventLoop;
import java.util.function.Supplier;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.HttpClient;
import org.wingstall.relay.config.RelayConfig;
import org.wingstall.relay.endpoint.AdvertisedLimitReader;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.endpoint.SendLimits;
import org.wingstall.relay.endpoint.StateQueries;
import org.wingstall.relay.run.ServiceRetryBudgets;
import org.wingstall.relay.wire.EndpointProtocol;

/**
 * What the pools of all services share.
 *
 * <p>{@code new StagePools(new PoolContext(loop, clock, client, wire, reports, endpoints, limits, config, budgets,
 * quarantine, PoolPolicies.STANDARD))}
 *
 * @param loop the request loop
 * @param clock monotonic clock
 * @param client HTTP client
 * @param wire how endpoints are spoken to
 * @param reports asks endpoints for their state
 * @param endpoints the endpoints
 * @param limits bounds requests to endpoints with reduced capacity
 * @param answers reads the limits that answers state
 * @param config the configuration in force
 * @param budgets retry budgets of the services
 * @param quarantine holds back pieces that crash endpoints
 * @param policies the decisions
 * @since 0.2
 */
public record PoolContext(
        EventLoop loop,
        MonotonicClock clock,
        HttpClient client,
        EndpointProtocol endpointProtocol,
        StateQueries stateQueries,
        RelayEndpoints endpoints,
        SendLimits limits,
        AdvertisedLimitReader limitReader,
        Supplier<RelayConfig> config,
        ServiceRetryBudgets budgets,
        Quarantine quarantine,
        PoolPolicies policies) {}
