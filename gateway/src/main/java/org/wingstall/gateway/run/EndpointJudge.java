package org.wingstall.gateway.run;

import org.wingstall.core.retry.AttemptTimeouts;
import org.wingstall.core.retry.RetryRules.AttemptOutcome;
import org.wingstall.core.route.EndpointState;

/** Counts failures of a service's endpoints towards their ejection; a slow endpoint is not a failing one. */
final class EndpointJudge {
    private final RunParts parts;
    private final ServiceGate gate;

    EndpointJudge(RunParts parts, ServiceGate gate) {
        this.parts = parts;
        this.gate = gate;
    }

    /** Judges by an attempt without answer; an endpoint that answers other calls meanwhile is slow, not silent. */
    void ended(StageAttempt attempt, AttemptOutcome end) {
        boolean slow = end == AttemptOutcome.TIMED_OUT && attempt.endpoint().activityAgeMs() < attempt.ranMs();
        if (end != AttemptOutcome.REFUSED_UNRUN && !slow) {
            countFailure(attempt.endpoint());
        }
    }

    /** Judges by an attempt that made no progress in time and goes on, since there is nowhere else to try it. */
    void kept(StageAttempt attempt) {
        long silentMs = Math.min(attempt.ranMs(), attempt.endpoint().activityAgeMs());
        if (silentMs >= AttemptTimeouts.UNRESPONSIVE_AFTER_MS) {
            countFailure(attempt.endpoint());
        }
    }

    private void countFailure(EndpointState endpoint) {
        if (endpoint.recordFailure(parts.settings().getPolicy().getEjectAfterFailures())) {
            parts.metrics().ejected();
            gate.drain();
        }
    }
}
