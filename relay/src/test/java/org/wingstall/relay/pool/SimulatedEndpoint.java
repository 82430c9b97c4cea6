package org.wingstall.relay.pool;

/**
 * An endpoint; calls that are running at any time while it is unresponsive are lost. It is slow during a period,
 * in which a call that is running gets slower as well.
 */
record SimulatedEndpoint(
        String id,
        String failureDomain,
        double slowdown,
        long slowFromMs,
        long slowUntilMs,
        long unresponsiveFromMs,
        long unresponsiveUntilMs) {
    static SimulatedEndpoint healthy(String id, String failureDomain) {
        return new SimulatedEndpoint(id, failureDomain, 1, 0, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);
    }

    SimulatedEndpoint slow(double times) {
        return slow(times, 0, Long.MAX_VALUE);
    }

    SimulatedEndpoint slow(double times, long fromMs, long untilMs) {
        return new SimulatedEndpoint(
                id, failureDomain, times, fromMs, untilMs, unresponsiveFromMs, unresponsiveUntilMs);
    }

    SimulatedEndpoint unresponsive(long fromMs, long untilMs) {
        return new SimulatedEndpoint(id, failureDomain, slowdown, slowFromMs, slowUntilMs, fromMs, untilMs);
    }

    /** Returns the duration of a call that would take a time at the usual speed. */
    double durationMs(long startMs, double usualMs) {
        if (startMs >= slowUntilMs) {
            return usualMs;
        }
        double beforeMs = Math.max(0, slowFromMs - startMs);
        if (usualMs <= beforeMs) {
            return usualMs;
        }
        double slowMs = slowUntilMs - Math.max(startMs, slowFromMs);
        double leftMs = usualMs - beforeMs;
        return leftMs * slowdown <= slowMs
                ? beforeMs + leftMs * slowdown
                : beforeMs + slowMs + leftMs - slowMs / slowdown;
    }
}
