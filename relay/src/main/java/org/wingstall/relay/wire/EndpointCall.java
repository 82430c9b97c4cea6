package org.wingstall.relay.wire;

import java.net.InetSocketAddress;
import java.util.List;
import org.wingstall.core.route.EndpointIdentity;

/**
 * The parameters of sending a request to an endpoint.
 *
 * <p>{@code wire.call(request, new EndpointCall(endpoint, 2500, "canteen", List.of(), null, null, 0))}
 *
 * @param endpoint the endpoint; another one that is at its address by then must not run the request
 * @param remainingMs time that the endpoint may take, in ms
 * @param workspace workspace of the caller's key; empty without a key
 * @param inputs handles of the stage results that the endpoint reads
 * @param resumeAfter last event that the caller received, or null for the whole stream
 * @param fetchFrom engine that has cached parts of the prompt which this one has not, or null
 * @param maxIdleMs maximum idle time of a connection that may be reused, in ms
 * @since 0.2
 */
public record EndpointCall(
        EndpointIdentity endpoint,
        long remainingMs,
        String workspace,
        List<String> inputs,
        String resumeAfter,
        InetSocketAddress fetchFrom,
        long maxIdleMs) {}
