package org.wingstall.relay.endpoint;

import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.core.route.EndpointState;

/**
 * An endpoint and what the list says it can do.
 *
 * <p>{@code if (endpoint.state().serving()) { send(endpoint); }}
 *
 * @param state what this box knows of it
 * @param slots requests that it runs at once
 * @since 0.2
 */
public record RelayEndpoint(EndpointState state, int slots) {
    /** Returns who and where the endpoint is. */
    public EndpointIdentity identity() {
        return state.identity();
    }

    /** Returns the identifier of this incarnation of the endpoint. */
    public String id() {
        return state.identity().memberId();
    }
}
