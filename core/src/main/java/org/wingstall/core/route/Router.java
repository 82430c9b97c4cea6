package org.wingstall.core.route;

import java.util.List;

/**
 * Chooses the endpoint for a call among those that may take it.
 *
 * <p>{@code EndpointState chosen = router.choose(candidates, new RouteRequest("kgn-a", digests));}
 *
 * @since 0.1
 */
public interface Router {
    /**
     * Chooses an endpoint.
     *
     * @param candidates endpoints that may take the call, at least one
     * @param request what the call is
     * @return one of the candidates
     */
    EndpointState choose(List<Candidate> candidates, RouteRequest request);
}
