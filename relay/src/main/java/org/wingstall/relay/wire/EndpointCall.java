package org.wingstall.relay.wire;

import java.net.InetSocketAddress;
import java.util.List;
import org.wingstall.core.route.EndpointIdentity;

/**
 * What is added to a request when it is sent to an endpoint.
 *
 * <p>{@code wire.call(request, new EndpointCall(endpoint, 2500, "canteen", List.of(), null, null, 0))}
 *
 * @param endpoint the endpoint, and no other that may stand at its address by then
 * @param remainingMs time that the endpoint may work, in ms
 * @param workspace holder of the caller's key; empty without one
 * @param inputs results of stages that the endpoint reads
 * @param resumeAfter last event that the caller has, or null for the whole stream
 * @param fetchFrom engine that keeps parts of the prompt which this one lacks, or null
 * @param reuseIdleMs a kept connection that has been idle for longer is not used, in ms
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
