package org.wingstall.relay.wire;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalInt;

/**
 * The head of an endpoint's answer, decoded.
 *
 * <p>{@code if (head.notRun()) { tryAnother(); }}
 *
 * @param status HTTP status
 * @param requestId request that the answer belongs to, or null when it does not say
 * @param signed whether the endpoint signed the answer; a success without is none
 * @param notRun whether the endpoint states that it has not run the request and never will
 * @param otherIncarnation whether another endpoint stands at the address now
 * @param streamed whether the body is a series of events
 * @param load requests running and waiting there, when it says so
 * @param limit requests that it takes from all boxes, when it says so
 * @param toCaller headers that go on to the caller
 * @since 0.2
 */
public record ResponseHead(
        int status,
        String requestId,
        boolean signed,
        boolean notExecuted,
        boolean otherIncarnation,
        boolean streamed,
        OptionalInt load,
        AdvertisedLimit limit,
        HttpHeaders callerHeaders) {
    /** Returns whether the endpoint ran the request with success. */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
