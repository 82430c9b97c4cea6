package org.wingstall.relay.run;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.wingstall.net.http.HttpCall;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.Route.ServiceShare;
import org.wingstall.relay.config.Workspace;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.stream.StreamOrigins;
import org.wingstall.relay.stream.StreamVersion;
import org.wingstall.relay.wire.EndpointCall;
import org.wingstall.relay.wire.RelayRequest;

/**
 * A request with its route and workspace.
 *
 * @param call the caller's call
 * @param request the decoded request
 * @param route its route
 * @param workspace workspace of the caller's key
 * @param configVersion version of the configuration that was used
 * @param configAgeMs time for which this box has had it in force, in ms
 * @param times when it arrived and is due
 */
record RoutedRequest(
        HttpCall call,
        RelayRequest request,
        Route route,
        Workspace workspace,
        long configVersion,
        long configAgeMs,
        RequestTimes times) {
    /** Shortest time for which a stream is taken to be resumable, in ms. */
    private static final long MIN_STREAM_LIFETIME_MS = 30_000;

    /** A caller's tries together may take longer than one request may. */
    private static final int TRIES = 3;

    /** Longest wait for links to boxes that may know a stream, in ms; a box that starts has them within that time. */
    private static final long MAX_PATIENCE_MS = 1000;

    /** Parts of the caller's time of which the wait takes one at most. */
    private static final int PATIENCE_PARTS = 4;

    /** Idle time after which a pooled connection is not reused for retryable requests, in ms. */
    private static final long MAX_REUSE_IDLE_MS = 3000;

    /** Returns whether the caller resumes a stream of which it has some events. */
    boolean resumesStream() {
        return route.streamed() && request.lastEventId() != null;
    }

    /** Returns whether the caller may resume the stream that this request begins. */
    boolean beginsResumableStream() {
        return route.streamed() && route.resumable() && request.lastEventId() == null;
    }

    /** Returns the stream that the caller resumes; a route may have led to other services under an older configuration. */
    StreamOrigins.Query resumedStream() {
        long lifetimeMs = Math.max(MIN_STREAM_LIFETIME_MS, TRIES * route.timeoutMs());
        Set<String> services = configAgeMs < lifetimeMs
                ? Set.of()
                : route.serviceShares().stream().map(ServiceShare::service).collect(Collectors.toSet());
        long patienceMs = Math.min(MAX_PATIENCE_MS, times.remainingMs() / PATIENCE_PARTS);
        return new StreamOrigins.Query(request.resumes(), workspace.name(), services, lifetimeMs, patienceMs);
    }

    /**
     * Returns the service that the request is sent to: the one that began a resumed stream while the route leads there.
     *
     * @param stream what is known of the stream that is resumed
     * @param random selects among the route's services
     */
    String service(StreamVersion stream, RandomGenerator random) {
        boolean leadsThere =
                route.serviceShares().stream().anyMatch(share -> share.service().equals(stream.service()));
        return leadsThere ? stream.service() : route.selectService(random.nextDouble());
    }

    /**
     * Returns the call by which the request is sent to an endpoint.
     *
     * @param inputs outputs of the stages before it
     * @param lastEventId last event that the caller was sent by this box, or null
     * @param fetchFrom where parts of the prompt are fetched from, or null
     */
    EndpointCall callTo(RelayEndpoint endpoint, List<String> inputs, String lastEventId, InetSocketAddress fetchFrom) {
        return new EndpointCall(
                endpoint.identity(),
                times.remainingMs(),
                workspace.name(),
                inputs,
                lastEventId == null ? request.lastEventId() : lastEventId,
                fetchFrom,
                route.retryable() ? MAX_REUSE_IDLE_MS : 0);
    }
}
