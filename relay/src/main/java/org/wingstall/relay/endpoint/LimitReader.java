package org.wingstall.relay.endpoint;

import org.wingstall.core.limit.StatedLimits;
import org.wingstall.relay.wire.AnswerHead;

/**
 * Reads what the answers of endpoints state of the requests that they take. Confined to the request loop.
 *
 * <p>{@code reader.seen(endpoint, head, sentMs);}
 *
 * @since 0.9
 */
public final class LimitReader {
    private final StatedLimits limits;

    /** Creates a reader that records what it finds. */
    public LimitReader(StatedLimits limits) {
        this.limits = limits;
    }

    /** Returns whether an endpoint states a limit, so that only what callers want goes there. */
    public boolean limited(RelayEndpoint endpoint) {
        return limits.limited(endpoint.key());
    }

    /**
     * Records what an answer states.
     *
     * @param endpoint the endpoint that was meant
     * @param head head of the answer
     * @param sentMs when the request was sent, in ms of the monotonic clock
     */
    public void seen(RelayEndpoint endpoint, AnswerHead head, long sentMs) {
        if (head.otherIncarnation()) {
            return;
        }
        switch (head.limit().kind()) {
            case RATE -> limits.stated(endpoint.key(), head.limit().requestsPerSecond());
            case UNREADABLE -> limits.statedUnreadable(endpoint.key());
            case NONE -> notStated(endpoint, head, sentMs);
        }
    }

    /** Only an endpoint that ran the request has shown what it takes. */
    private void notStated(RelayEndpoint endpoint, AnswerHead head, long sentMs) {
        if (!head.notRun()) {
            limits.notStated(endpoint.key(), sentMs);
        }
    }
}
