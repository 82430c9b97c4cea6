package org.wingstall.relay.endpoint;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Keeps new work away from an endpoint after several consecutive failures, for a time that doubles with each further
 * failure, and for the first of these times after a connection that ended under a request.
 *
 * <p>After that time the endpoint gets work again: one response resets the backoff, one more failure extends it.
 *
 * <p>{@code backoff.recordFailure(nowMs); if (backoff.allowsRequests(nowMs)) { send(); }}
 *
 * @since 0.2
 */
final class Backoff {
    /** Consecutive failures from which an endpoint gets no work; single failures are attributed to the requests. */
    private static final int FAILURE_THRESHOLD = 3;

    /** First backoff time, in ms: the duration of a few calls. */
    private static final long INITIAL_MS = 400;

    /** Longest backoff time, in ms, so that an endpoint that has recovered is not left unused for longer. */
    private static final long MAX_MS = 3200;

    private final AtomicReference<State> state = new AtomicReference<>(State.CLEAR);

    private record State(int failures, long untilMs, boolean inDoubt) {
        private static final State CLEAR = new State(0, Long.MIN_VALUE, false);

        State withFailures(int count, long nowMs) {
            if (count < FAILURE_THRESHOLD) {
                return new State(count, untilMs, inDoubt);
            }
            int doublings =
                    Math.min(count - FAILURE_THRESHOLD, Integer.numberOfTrailingZeros((int) (MAX_MS / INITIAL_MS)));
            return new State(count, nowMs + (INITIAL_MS << doublings), inDoubt);
        }

        State doubtedUntil(long atMs) {
            return new State(failures, Math.max(untilMs, atMs), true);
        }

        State withoutDoubt() {
            return new State(failures, failures < FAILURE_THRESHOLD ? Long.MIN_VALUE : untilMs, false);
        }
    }

    /** Records a failure; returns whether the backoff begins with it. */
    boolean recordFailure(long nowMs) {
        State before = state.getAndUpdate(now -> now.withFailures(now.failures() + 1, nowMs));
        return before.failures() + 1 == FAILURE_THRESHOLD;
    }

    /**
     * Records a call without any response, which counts as several failures; returns whether the backoff begins with
     * it.
     */
    boolean recordNoAnswer(long nowMs) {
        State before =
                state.getAndUpdate(now -> now.withFailures(Math.max(FAILURE_THRESHOLD, now.failures() + 1), nowMs));
        return before.failures() < FAILURE_THRESHOLD;
    }

    /**
     * Records that a connection ended under a request, so that the endpoint may have ended. It counts as one failure;
     * returns whether the backoff begins with it.
     */
    boolean recordConnectionLost(long nowMs) {
        State before = state.getAndUpdate(
                now -> now.withFailures(now.failures() + 1, nowMs).doubtedUntil(nowMs + INITIAL_MS));
        return before.untilMs() <= nowMs;
    }

    /** Records that another box lost a connection to the endpoint, which counts as no failure. */
    void recordReportedLoss(long nowMs) {
        state.updateAndGet(now -> now.doubtedUntil(nowMs + INITIAL_MS));
    }

    /** Records that the endpoint has not ended, since it responded to something other than a request. */
    void recordAlive() {
        state.updateAndGet(State::withoutDoubt);
    }

    /** Records a response, which ends the backoff. */
    void reset() {
        if (state.get() != State.CLEAR) {
            state.set(State.CLEAR);
        }
    }

    /** Returns whether a connection ended under a request, here or at another box, and nothing has responded since. */
    boolean inDoubt() {
        return state.get().inDoubt();
    }

    /** Returns whether the endpoint has responded since its last few failures. */
    boolean responding() {
        return state.get().failures() < FAILURE_THRESHOLD;
    }

    /** Returns whether the endpoint may get new work. */
    boolean allowsRequests(long nowMs) {
        return state.get().untilMs() <= nowMs;
    }
}
