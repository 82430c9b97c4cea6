package org.wingstall.relay.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.wire.ResponseHead;
import org.wingstall.schema.peer.RejectionNews;

/**
 * Keeps the rejections of endpoints that fail when they reject too many requests within a second below what they state
 * to bear, over all boxes together. Confined to the request loop.
 *
 * <p>Boxes tell each other of each rejection, and limit their requests in flight, see {@link RequestWindow}. After a
 * rejection those without requests in flight pause, and from three quarters of the rejections that an endpoint bears on
 * all boxes, until the first of them is a second old. They end their pauses at different times.
 *
 * <p>{@code guard.record(endpoint, head); ... guard.receive("kgn-a-1", news);}
 *
 * @since 0.15
 */
public final class RejectionGuard {
    /** Time in which the rejections of an endpoint are counted, in ms. */
    private static final long WINDOW_MS = 1000;

    /** Fraction of the rejections that an endpoint bears from which it gets no requests; others are under way. */
    private static final double USED_FRACTION = 0.75;

    /** Shortest pause after a rejection, in ms; longer than its news takes. */
    private static final long MIN_PAUSE_MS = 100;

    /** Pause of a box that has no request in flight at the endpoint but the rejected one, in ms. */
    private static final long OWN_PAUSE_MS = 400;

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final String boxId;
    private final RelayEndpoints endpoints;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Listener listener;
    private final Map<String, Deque<Long>> rejectedAtMs = new HashMap<>();
    private final HeardRejections heard = new HeardRejections();
    private long nextNumber;

    /** Receives the rejections to tell other boxes. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Sends news to all linked boxes except one.
         *
         * @param news the rejection
         * @param exceptBox box that it was heard from; null if it happened here
         */
        void broadcast(RejectionNews news, String exceptBox);
    }

    /**
     * Creates a guard.
     *
     * @param boxId this box
     * @param endpoints endpoints of all services
     * @param clock monotonic clock
     * @param random spreads the ends of pauses
     * @param listener receives the rejections to tell other boxes
     */
    public RejectionGuard(
            String boxId, RelayEndpoints endpoints, MonotonicClock clock, RandomGenerator random, Listener listener) {
        this.boxId = boxId;
        this.endpoints = endpoints;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
        // Boxes of earlier builds ignore numbers that don't exceed those of the former life.
        this.nextNumber = System.currentTimeMillis();
    }

    /** Records what a response to a request or a call for pieces states, and whether it is a rejection. */
    void record(RelayEndpoint endpoint, ResponseHead head) {
        OptionalInt stated = head.statement().maxRejectionsPerSecond();
        if (stated.isEmpty()) {
            endpoint.endRequestLimit();
            rejectedAtMs.remove(endpoint.key());
            return;
        }
        endpoint.limitRequests();
        boolean full = head.status() == SERVICE_UNAVAILABLE || head.status() == TOO_MANY_REQUESTS;
        if (full && head.notExecuted()) {
            recordRejection(endpoint, stated.getAsInt(), true);
            long incarnation = endpoint.identity().incarnation();
            listener.broadcast(
                    new RejectionNews(endpoint.id(), incarnation, stated.getAsInt(), boxId, nextNumber++), null);
        }
    }

    /** Applies a rejection that another box tells, and passes it on once. */
    public void receive(String box, RejectionNews news) {
        if (news.getBox().equals(boxId) || !heard.add(news, clock.nowMs())) {
            return;
        }
        endpoints
                .find(news.getEndpoint())
                .filter(endpoint -> endpoint.identity().incarnation() == news.getIncarnation())
                .ifPresent(endpoint -> recordRejection(endpoint, news.getMaxRejectionsPerSecond(), false));
        listener.broadcast(news, box);
    }

    private void recordRejection(RelayEndpoint endpoint, int maxRejectionsPerSecond, boolean own) {
        long nowMs = clock.nowMs();
        Deque<Long> recent = rejectedAtMs.computeIfAbsent(endpoint.key(), key -> new ArrayDeque<>());
        recent.addLast(nowMs);
        while (nowMs - recent.peekFirst() >= WINDOW_MS) {
            recent.removeFirst();
        }
        boolean used = recent.size() >= USED_FRACTION * maxRejectionsPerSecond;
        // Requests in flight have a place, which the next one takes over when they end.
        boolean hasPlaces = endpoint.state().inFlight() > (own ? 1 : 0);
        if (used) {
            pause(endpoint, recent.peekFirst() + WINDOW_MS - nowMs, WINDOW_MS);
        } else if (!hasPlaces) {
            long pauseMs = own ? OWN_PAUSE_MS : MIN_PAUSE_MS;
            pause(endpoint, pauseMs, pauseMs);
        }
        endpoint.reduceRequests(own);
    }

    private void pause(RelayEndpoint endpoint, long durationMs, long spreadMs) {
        endpoint.closeFor(Math.max(MIN_PAUSE_MS, durationMs) + Math.round(spreadMs * random.nextDouble()));
    }
}
