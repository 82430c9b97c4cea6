package org.wingstall.relay.endpoint;

/**
 * Bounds the requests that this box sends, or has others send, to endpoints with reduced capacity. Confined to the request
 * loop.
 *
 * <p>{@code if (bound.binds(endpoint) && bound.waitMs(endpoint, chooser, recent) > 0) { chooseAnother(); }}
 */
interface SendLimit {
    /** Returns the reason for the bound as metrics name it. */
    String reason();

    /** Returns whether nothing is bounded, without a look at any endpoint. */
    boolean inactive(String service);

    /** Returns whether an endpoint is bounded now. */
    boolean appliesTo(RelayEndpoint endpoint);

    /** Returns the time until a bounded endpoint may be sent one more request, in ms; 0 for now. */
    long waitMs(RelayEndpoint endpoint, SendLimits.SelectionMode chooser, RecentSends recent);
}
