package org.wingstall.relay.run;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.wingstall.relay.engine.EngineAssignment;

/** Queries the state of an engine when its first response to a request is overdue. */
final class OverdueResponseCheck {
    /** Multiple of the typical time to the first response after which a response is overdue. */
    private static final double OVERDUE_FACTOR = 2;

    /** Time added to that, in ms; a lost packet is retransmitted within it. */
    private static final long OVERDUE_EXTRA_MS = 200;

    private OverdueResponseCheck() {}

    /**
     * Schedules the check for one attempt.
     *
     * @param context shared dependencies
     * @param chosen the engine of the attempt
     * @param typicalMs typical time to the first response, in ms
     * @param awaitsResponse whether the request still waits for its first response
     * @param onUnresponsive run if the engine does not answer the state query either
     */
    static void schedule(
            RelayContext context,
            EngineAssignment chosen,
            long typicalMs,
            BooleanSupplier awaitsResponse,
            Runnable onUnresponsive) {
        Runnable look = () -> {
            if (awaitsResponse.getAsBoolean() && !chosen.ended()) {
                context.engineStateQuery().accept(chosen.endpoint(), onUnresponsive);
            }
        };
        long dueMs = Math.round(OVERDUE_FACTOR * typicalMs) + OVERDUE_EXTRA_MS;
        context.loop().schedule(look, dueMs, TimeUnit.MILLISECONDS);
    }
}
