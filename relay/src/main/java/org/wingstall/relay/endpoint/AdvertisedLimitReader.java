package org.wingstall.relay.endpoint;

import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.relay.wire.ResponseHead;

/**
 * Reads what the answers of endpoints state of the requests that they take. Confined to the request loop.
 *
 * <p>{@code reader.seen(endpoint, head, sentMs);}
 *
 * @since 0.9
 */
public final class AdvertisedLimitReader {
    private final AdvertisedLimits limits;

    /** Creates a reader that records what it finds. */
    public AdvertisedLimitReader(AdvertisedLimits limits) {
        this.limits = limits;
    }

    /** Returns whether an endpoint states a limit, so that only what callers want goes there. */
    public boolean limited(RelayEndpoint endpoint) {
        return limits.isLimited(endpoint.key());
    }

    /**
     * Records what an answer states.
     *
     * @param endpoint the endpoint that was meant
     * @param head head of the answer
     * @param sentMs when the request was sent, in ms of the monotonic clock
     */
    public void readLimit(RelayEndpoint endpoint, ResponseHead head, long sentMs) {
        if (head.otherIncarnation()) {
            return;
        }
        switch (head.limit().kind()) {
            case RATE -> limits.advertised(endpoint.key(), head.limit().requestsPerSecond());
            case UNREADABLE -> limits.advertisedUnreadable(endpoint.key());
            case NONE -> notStated(endpoint, head, sentMs);
        }
    }

    /** Only an endpoint that ran the request has shown what it takes. */
    private void notStated(RelayEndpoint endpoint, ResponseHead head, long sentMs) {
        if (!head.notExecuted()) {
            limits.notAdvertised(endpoint.key(), sentMs);
        }
    }
}
