package org.wingstall.relay.run;

import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.wire.RelayRequest;

/** When one request arrived, and when its response is due. */
final class RequestTimes {
    /** Time beyond the deadline within which the end of a stream arrives that its endpoint ends by then, in ms. */
    static final long STREAM_END_MS = 300;

    /** Time before the caller's deadline by which the response is sent, so that it still arrives, in ms. */
    private static final long DEADLINE_MARGIN_MS = 30;

    private final MonotonicClock clock;
    private final long arrivedMs;
    private final long targetAtMs;
    private final long deadlineAtMs;

    RequestTimes(MonotonicClock clock, Route route, RelayRequest request) {
        this.clock = clock;
        this.arrivedMs = clock.nowMs();
        this.targetAtMs = arrivedMs + route.targetMs();
        this.deadlineAtMs = arrivedMs + Math.min(route.timeoutMs(), request.deadlineMs() - DEADLINE_MARGIN_MS);
    }

    long nowMs() {
        return clock.nowMs();
    }

    long arrivedMs() {
        return arrivedMs;
    }

    long deadlineAtMs() {
        return deadlineAtMs;
    }

    /** Returns the latest time at which the response ends. */
    long latestEndMs() {
        return deadlineAtMs + STREAM_END_MS;
    }

    /** Returns the time since the arrival, in ms. */
    long elapsedMs() {
        return nowMs() - arrivedMs;
    }

    /** Returns the time until the route's latency target, in ms; 0 after it. */
    long untilTargetMs() {
        return Math.max(0, targetAtMs - nowMs());
    }

    /** Returns the time until the deadline, in ms; negative after it. */
    long remainingMs() {
        return deadlineAtMs - nowMs();
    }
}
