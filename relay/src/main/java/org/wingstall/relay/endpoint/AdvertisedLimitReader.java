package org.wingstall.relay.endpoint;

import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.relay.wire.ResponseHead;

/**
 * Reads the rate limits that endpoints advertise in their responses. Confined to the request loop.
 *
 * <p>{@code reader.readLimit(endpoint, head, sentMs);}
 *
 * @since 0.9
 */
public final class AdvertisedLimitReader {
    private final AdvertisedLimits limits;

    /** Creates a reader that records the limits that it finds. */
    public AdvertisedLimitReader(AdvertisedLimits limits) {
        this.limits = limits;
    }

    /** Returns whether an endpoint advertises a limit, so that only callers' requests may be sent to it. */
    public boolean limited(RelayEndpoint endpoint) {
        return limits.isLimited(endpoint.key());
    }

    /**
     * Records the limit that a response advertises, or that it advertises none.
     *
     * @param endpoint the endpoint that the request was sent to
     * @param head head of the response
     * @param sentMs when the request was sent, in ms of the monotonic clock
     */
    public void readLimit(RelayEndpoint endpoint, ResponseHead head, long sentMs) {
        if (head.otherIncarnation()) {
            return;
        }
        switch (head.limit().kind()) {
            case RATE -> limits.advertised(endpoint.key(), head.limit().requestsPerSecond());
            case UNREADABLE -> limits.advertisedUnreadable(endpoint.key());
            case NONE -> recordNoLimit(endpoint, head, sentMs);
        }
    }

    /** A response without a limit counts only when the endpoint executed the request, which shows that it can take it. */
    private void recordNoLimit(RelayEndpoint endpoint, ResponseHead head, long sentMs) {
        if (!head.notExecuted()) {
            limits.notAdvertised(endpoint.key(), sentMs);
        }
    }
}
