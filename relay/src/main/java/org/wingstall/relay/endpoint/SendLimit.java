package org.wingstall.relay.endpoint;

/**
 * Limits the requests that this box sends, or has other boxes send, to endpoints with reduced capacity. Confined to the
 * request loop.
 *
 * <p>{@code if (limit.appliesTo(endpoint) && limit.waitMs(endpoint, mode, recent) > 0) { chooseAnother(); }}
 */
interface SendLimit {
    /** Returns the reason for the limit as named in metrics. */
    String reason();

    /** Returns whether the limit currently applies to no endpoint of a service, without checking each endpoint. */
    boolean inactive(String service);

    /** Returns whether the limit applies to an endpoint now. */
    boolean appliesTo(RelayEndpoint endpoint);

    /** Returns the time until one more request may be sent to a limited endpoint, in ms; 0 for now. */
    long waitMs(RelayEndpoint endpoint, SendLimits.SelectionMode chooser, RecentSends recent);
}
