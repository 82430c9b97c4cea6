package org.wingstall.relay.run;

import io.netty.channel.EventLoop;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.HttpClient;
import org.wingstall.relay.config.Regions;
import org.wingstall.relay.config.RelayConfig;
import org.wingstall.relay.endpoint.AdvertisedLimitReader;
import org.wingstall.relay.endpoint.EndpointChooser;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.endpoint.SendLimits;
import org.wingstall.relay.engine.EngineSelector;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.log.RequestLog;
import org.wingstall.relay.pool.StagePools;
import org.wingstall.relay.wire.CallerProtocol;
import org.wingstall.relay.wire.EndpointProtocol;

/**
 * What all requests of a box share.
 *
 * <p>{@code new RelayRun(parts, call, request, route, workspace).begin();}
 *
 * @param loop the request loop
 * @param clock monotonic clock
 * @param random source of random numbers
 * @param client HTTP client
 * @param callers how callers are spoken to
 * @param wire how endpoints are spoken to
 * @param config the configuration in force
 * @param endpoints the endpoints
 * @param pools pools of the stages
 * @param engines chooses among model engines
 * @param regions region of each failure domain
 * @param limits bounds requests to endpoints with reduced capacity
 * @param answers reads the limits that answers state
 * @param doubts takes an engine whose answer is overdue, and what to do when it turns out silent
 * @param services chooses among other endpoints
 * @param budgets retry budgets
 * @param quarantine holds back requests that crash endpoints
 * @param retryAfter spreads the hints when to come back
 * @param metrics counters and timers
 * @param log lines about requests
 * @since 0.2
 */
public record RelayContext(
        EventLoop loop,
        MonotonicClock clock,
        RandomGenerator random,
        HttpClient client,
        CallerProtocol callerProtocol,
        EndpointProtocol endpointProtocol,
        Supplier<RelayConfig> config,
        RelayEndpoints endpoints,
        StagePools stagePools,
        EngineSelector engineSelector,
        Regions regions,
        SendLimits sendLimits,
        AdvertisedLimitReader limitReader,
        BiConsumer<RelayEndpoint, Runnable> engineStateQuery,
        EndpointChooser endpointChooser,
        ServiceRetryBudgets retryBudgets,
        Quarantine quarantine,
        RetryAfter retryAfter,
        RelayMetrics metrics,
        RequestLog log) {}
