package org.wingstall.relay.endpoint;

/**
 * Bounds the requests that this box sends, or has others send, to endpoints with reduced capacity. Confined to the request
 * loop.
 *
 * <p>{@code if (bound.binds(endpoint) && bound.waitMs(endpoint, chooser, recent) > 0) { chooseAnother(); }}
 */
interface SendBound {
    /** Returns the reason for the bound as metrics name it. */
    String cause();

    /** Returns whether nothing is bounded, without a look at any endpoint. */
    boolean idle(String service);

    /** Returns whether an endpoint is bounded now. */
    boolean binds(RelayEndpoint endpoint);

    /** Returns the time until a bounded endpoint may be sent one more request, in ms; 0 for now. */
    long waitMs(RelayEndpoint endpoint, SendLimits.Chooser chooser, RecentSends recent);
}
