package org.wingstall.relay.log;

import org.wingstall.net.http.TransportException;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * An attempt at a request that the endpoint may have run and that got no complete response.
 *
 * <p>{@code log.endpointLost(record, new EndpointLoss(endpoint, 130, 100, failure));}
 *
 * @param endpoint the endpoint of the attempt
 * @param sentMsAgo time since it was sent, in ms
 * @param headMsAgo time since the head of the response came, in ms; -1 when none came
 * @param failure how the connection ended
 * @since 0.7
 */
public record EndpointLoss(RelayEndpoint endpoint, long sentMsAgo, long headMsAgo, TransportException failure) {}
