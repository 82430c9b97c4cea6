package org.wingstall.relay.endpoint;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Keeps new work from an endpoint that failed several times in a row, for a time that doubles with each further failure.
 *
 * <p>After that time the endpoint gets work again; one answer clears it, one more failure keeps it away for longer.
 *
 * <p>{@code backoff.failed(nowMs); if (backoff.open(nowMs)) { send(); }}
 *
 * @since 0.2
 */
final class Backoff {
    /** Failures in a row from which an endpoint is kept away; single ones are the requests' own. */
    private static final int FAILURES = 3;

    /** First time away, in ms; a few calls long. */
    private static final long FIRST_MS = 400;

    /** Longest time away, in ms; an endpoint that is well again should not be missed for longer. */
    private static final long MOST_MS = 3200;

    private final AtomicReference<State> state = new AtomicReference<>(State.CLEAR);

    private record State(int failures, long untilMs) {
        private static final State CLEAR = new State(0, Long.MIN_VALUE);

        State failed(int more, long nowMs) {
            if (more < FAILURES) {
                return new State(more, untilMs);
            }
            int doublings = Math.min(more - FAILURES, Integer.numberOfTrailingZeros((int) (MOST_MS / FIRST_MS)));
            return new State(more, nowMs + (FIRST_MS << doublings));
        }
    }

    /** Records a failure; returns whether it keeps the endpoint away from now on. */
    boolean recordFailure(long nowMs) {
        State before = state.getAndUpdate(now -> now.failed(now.failures() + 1, nowMs));
        return before.failures() + 1 == FAILURES;
    }

    /** Records a call without any answer, which counts as several failures; returns the same. */
    boolean recordNoAnswer(long nowMs) {
        State before = state.getAndUpdate(now -> now.failed(Math.max(FAILURES, now.failures() + 1), nowMs));
        return before.failures() < FAILURES;
    }

    /** Records an answer. */
    void reset() {
        if (state.get() != State.CLEAR) {
            state.set(State.CLEAR);
        }
    }

    /** Returns whether the endpoint may get work. */
    boolean allowsRequests(long nowMs) {
        return state.get().untilMs() <= nowMs;
    }
}
