package org.wingstall.relay.run;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.wingstall.relay.engine.EngineAssignment;

/** Has an engine asked for its state when its first answer to a request is overdue. */
final class OverdueResponseCheck {
    /** FleetBudget of the usual first answers beyond which one is overdue. */
    private static final double OVERDUE_FACTOR = 2;

    /** Time that is added to it, in ms: a packet that is lost is sent again within. */
    private static final long OVERDUE_EXTRA_MS = 200;

    private OverdueResponseCheck() {}

    /**
     * Watches one sending of a request.
     *
     * @param parts what all requests share
     * @param chosen the engine
     * @param usualMs time that first answers usually take, in ms
     * @param waits whether the request still waits for its first answer
     * @param silent what to do when the engine does not tell its state either
     */
    static void schedule(
            RelayContext parts, EngineAssignment chosen, long usualMs, BooleanSupplier waits, Runnable silent) {
        Runnable look = () -> {
            if (waits.getAsBoolean() && !chosen.ended()) {
                parts.engineStateQuery().accept(chosen.endpoint(), silent);
            }
        };
        long dueMs = Math.round(OVERDUE_FACTOR * usualMs) + OVERDUE_EXTRA_MS;
        parts.loop().schedule(look, dueMs, TimeUnit.MILLISECONDS);
    }
}
