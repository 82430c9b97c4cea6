package org.wingstall.relay.wire;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The decoded status and headers of an endpoint's response.
 *
 * <p>{@code if (head.notExecuted()) { tryAnother(); }}
 *
 * @param status HTTP status
 * @param requestId request that the response belongs to, or null when it does not say
 * @param signature the endpoint's signature of the response, or null without a valid one
 * @param notExecuted whether the endpoint states that it has not run the request and never will
 * @param otherIncarnation whether another endpoint process is at the address now
 * @param streamed whether the body is an event stream
 * @param statement state that the endpoint reports of itself
 * @param callerHeaders headers that are forwarded to the caller
 * @since 0.2
 */
public record ResponseHead(
        int status,
        String requestId,
        String signature,
        boolean notExecuted,
        boolean otherIncarnation,
        boolean streamed,
        EndpointStatement statement,
        HttpHeaders callerHeaders) {
    /** Returns whether the endpoint signed the response; an unsigned success is not accepted as one. */
    public boolean signed() {
        return signature != null;
    }

    /** Returns whether the endpoint ran the request successfully. */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
