package org.wingstall.relay.pool;

import io.netty.channel.EventLoop;
import java.util.function.Supplier;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.HttpClient;
import org.wingstall.relay.config.RelayConfig;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.endpoint.SendLimits;
import org.wingstall.relay.endpoint.StateQueries;
import org.wingstall.relay.endpoint.StatementReader;
import org.wingstall.relay.run.ServiceRetryBudgets;
import org.wingstall.relay.wire.EndpointProtocol;

/**
 * The dependencies that the pools of all services share.
 *
 * <p>{@code new StagePools(new PoolContext(loop, clock, client, wire, reports, endpoints, limits, config, budgets,
 * quarantine, PoolPolicies.STANDARD))}
 *
 * @param loop the request loop
 * @param clock monotonic clock
 * @param client HTTP client
 * @param endpointProtocol encodes calls to endpoints and decodes their responses
 * @param stateQueries queries endpoints for their state
 * @param endpoints the endpoints
 * @param limits limits requests to endpoints with reduced capacity
 * @param statementReader applies what endpoints state in their responses
 * @param config the configuration in force
 * @param budgets retry budgets of the services
 * @param quarantine refuses pieces that crash endpoints
 * @param policies order, admission and planning of calls
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
        StatementReader statementReader,
        Supplier<RelayConfig> config,
        ServiceRetryBudgets budgets,
        Quarantine quarantine,
        PoolPolicies policies) {}
