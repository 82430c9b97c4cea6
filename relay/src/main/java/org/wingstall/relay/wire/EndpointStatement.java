package org.wingstall.relay.wire;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The state that an endpoint reports of itself in the headers of a response, whatever the response is for.
 *
 * <p>{@code if (head.statement().leaving()) { endpoints.markLeaving(endpoint, "answer"); }}
 *
 * @param load requests running and waiting at the endpoint, when it reports them
 * @param slowdown ratio of the time that its work takes now to the usual time, when it reports it
 * @param limit rate limit for all boxes together, when it advertises one
 * @param leaving whether it is about to end and takes no new requests
 * @param maxRejectionsPerSecond rejections within a second above which it fails, when it states to be brittle
 * @param retryAfterMs time for which a rejecting endpoint takes no requests from this box, when it names one
 * @since 0.10
 */
public record EndpointStatement(
        OptionalInt load,
        OptionalDouble slowdown,
        AdvertisedLimit limit,
        boolean leaving,
        OptionalInt maxRejectionsPerSecond,
        OptionalLong retryAfterMs) {
    /** Creates the statement of an endpoint that does not report how long its work takes. */
    public EndpointStatement(
            OptionalInt load,
            AdvertisedLimit limit,
            boolean leaving,
            OptionalInt maxRejectionsPerSecond,
            OptionalLong retryAfterMs) {
        this(load, OptionalDouble.empty(), limit, leaving, maxRejectionsPerSecond, retryAfterMs);
    }
}
