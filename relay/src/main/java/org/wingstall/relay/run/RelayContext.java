package org.wingstall.relay.run;

import io.netty.channel.EventLoop;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.HttpClient;
import org.wingstall.relay.config.Regions;
import org.wingstall.relay.config.RelayConfig;
import org.wingstall.relay.endpoint.EndpointChooser;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.endpoint.SendLimits;
import org.wingstall.relay.endpoint.StatementReader;
import org.wingstall.relay.engine.EngineSelector;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.log.RequestLog;
import org.wingstall.relay.pool.StagePools;
import org.wingstall.relay.stream.StreamOrigins;
import org.wingstall.relay.wire.CallerProtocol;
import org.wingstall.relay.wire.EndpointProtocol;

/**
 * Holds the dependencies that all requests of a box share.
 *
 * <p>{@code new RelayHandler(context, ready)}
 *
 * @param loop the request loop
 * @param clock monotonic clock
 * @param random source of random numbers
 * @param client HTTP client
 * @param callerProtocol decodes requests of callers and encodes refusals
 * @param endpointProtocol encodes calls to endpoints and decodes their responses
 * @param config the configuration in force
 * @param configAgeMs time for which this box has had the configuration in force, in ms
 * @param endpoints the endpoints
 * @param stagePools endpoint pools that run stages
 * @param engineSelector selects model engines
 * @param streamOrigins tells which software versions began streams
 * @param regions region of each failure domain
 * @param leavingGraceMs time for which an endpoint that leaves takes streams of its version, in ms; 0 for none
 * @param sendLimits limits requests to endpoints with reduced capacity
 * @param statementReader applies what endpoints state in their responses
 * @param engineStateQuery queries the state of an engine, and runs the action if it is unresponsive
 * @param endpointChooser selects endpoints that are not engines
 * @param retryBudgets retry budgets of the services
 * @param quarantine refuses requests that crash endpoints
 * @param retryAfter adds jitter to retry-after times
 * @param metrics counters and timers
 * @param log log of requests
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
        LongSupplier configAgeMs,
        RelayEndpoints endpoints,
        StagePools stagePools,
        EngineSelector engineSelector,
        StreamOrigins streamOrigins,
        Regions regions,
        long leavingGraceMs,
        SendLimits sendLimits,
        StatementReader statementReader,
        BiConsumer<RelayEndpoint, Runnable> engineStateQuery,
        EndpointChooser endpointChooser,
        ServiceRetryBudgets retryBudgets,
        Quarantine quarantine,
        RetryAfter retryAfter,
        RelayMetrics metrics,
        RequestLog log) {}
