package org.wingstall.standin.endpoint;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.wingstall.schema.endpoint.StageCall;

/** The record of what an endpoint ran, for tests to count by. */
final class RunLog {
    private static final int MOST_KEPT = 200_000;

    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final AtomicLong started = new AtomicLong();
    private final AtomicLong arrived = new AtomicLong();
    private volatile long lastArrivalMs;

    /** One run. */
    record Run(String requestId, String stage, int attempt, String key, String workspace, long atMs) {}

    void arrived(StageCall call) {
        arrived.incrementAndGet();
        lastArrivalMs = System.currentTimeMillis();
    }

    long started(StageCall call) {
        long number = started.incrementAndGet();
        if (number <= MOST_KEPT) {
            runs.add(new Run(
                    call.getRequestId(),
                    call.getStage(),
                    call.getAttempt(),
                    call.getIdempotencyKey(),
                    call.getWorkspace(),
                    System.currentTimeMillis()));
        }
        return number;
    }

    List<Run> runs() {
        return List.copyOf(runs);
    }

    Map<String, Object> stats() {
        return Map.of("arrived", arrived.get(), "started", started.get(), "lastArrivalMs", lastArrivalMs);
    }
}
