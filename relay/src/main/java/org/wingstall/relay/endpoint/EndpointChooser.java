package org.wingstall.relay.endpoint;

import java.util.List;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Chooses the endpoint that a request is sent to.
 *
 * <p>{@code RelayEndpoint chosen = chooser.choose(candidates, request);}
 *
 * @since 0.2
 */
public interface EndpointChooser {
    /**
     * Chooses an endpoint.
     *
     * @param candidates endpoints that can take the request, at least one
     * @param request the request
     * @return one of the candidates
     */
    RelayEndpoint choose(List<RelayEndpoint> candidates, RelayRequest request);
}
