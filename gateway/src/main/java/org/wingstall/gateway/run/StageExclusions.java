package org.wingstall.gateway.run;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.wingstall.core.retry.RetryRules.AttemptOutcome;

/**
 * The endpoints that a stage doesn't call. An endpoint that rejected the call before running it is readmitted after an
 * exponential delay if no other endpoint is left.
 */
final class StageExclusions {
    private static final long FIRST_DELAY_MS = 100;

    private final Set<String> excluded = new HashSet<>();
    private final Deque<String> rejecting = new ArrayDeque<>();
    private long nextDelayMs = FIRST_DELAY_MS;

    void add(String endpointId) {
        excluded.add(endpointId);
    }

    void add(String endpointId, AttemptOutcome outcome) {
        excluded.add(endpointId);
        if (outcome == AttemptOutcome.REFUSED_UNRUN) {
            rejecting.add(endpointId);
        }
    }

    boolean contains(String endpointId) {
        return excluded.contains(endpointId);
    }

    /**
     * Readmits the endpoint whose rejection is the oldest, since it is the most likely to have become ready.
     *
     * @return the time after which it may be called, in ms; empty if no endpoint rejected the call
     */
    OptionalLong readmitOldest() {
        if (rejecting.isEmpty()) {
            return OptionalLong.empty();
        }
        excluded.remove(rejecting.poll());
        long delayMs = nextDelayMs;
        nextDelayMs *= 2;
        return OptionalLong.of(delayMs);
    }
}
