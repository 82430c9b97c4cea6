package org.wingstall.core.route;

import java.util.List;

/**
 * Chooses the endpoint that receives a call.
 *
 * <p>{@code EndpointState chosen = router.choose(candidates, new RouteRequest("kgn-a", 120, digests));}
 *
 * @since 0.1
 */
public interface Router {
    /**
     * Chooses an endpoint.
     *
     * @param candidates endpoints that may receive the call, at least one
     * @param request description of the call
     * @return one of the candidates
     */
    EndpointState choose(List<Candidate> candidates, RouteRequest request);
}
