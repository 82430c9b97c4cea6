package org.wingstall.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wingstall.schema.peer.CrashTrial;

/** Holds the trials of suspected requests on all boxes: one endpoint at a time for each request. Not thread-safe. */
final class TrialTable {
    /**
     * Time after which a trial is taken as ended although no end was received, in ms; crashes occur within a second
     * after a run starts.
     */
    private static final long TRIAL_TIMEOUT_MS = 5000;

    /** Time for which the start and the end of a trial are remembered, in ms: far longer than a message takes to reach all boxes. */
    private static final long ENDED_TRIAL_RETENTION_MS = 60_000;

    private final Map<Fingerprint, Trial> trials = new HashMap<>();
    private final Map<String, Long> startedAtMs = new HashMap<>();
    private final Map<String, Long> endedAtMs = new HashMap<>();

    /** A suspected request that a box has sent to an endpoint. */
    private record Trial(String id, String endpoint, long untilMs) {}

    boolean isEmpty() {
        return trials.isEmpty();
    }

    /** Returns the time for which a request is on trial at most, in ms; empty if it is not. */
    Optional<Long> remainingMs(Fingerprint request, long nowMs) {
        return Optional.ofNullable(trials.get(request))
                .map(trial -> trial.untilMs() - nowMs)
                .filter(remainingMs -> remainingMs > 0);
    }

    /** Returns the endpoints on which requests other than this one are on trial. */
    Set<String> endpointsOfOthers(Fingerprint request, long nowMs) {
        Set<String> endpoints = new HashSet<>();
        trials.forEach((other, trial) -> {
            // Many parts may be on trial at once, and their trials need no endpoint for themselves.
            if (!other.isPart() && !other.equals(request) && trial.untilMs() > nowMs) {
                endpoints.add(trial.endpoint());
            }
        });
        return endpoints;
    }

    void start(Fingerprint request, String trialId, String endpoint, long nowMs) {
        startedAtMs.put(trialId, nowMs);
        trials.put(request, new Trial(trialId, endpoint, nowMs + TRIAL_TIMEOUT_MS));
    }

    /**
     * Applies the start or end of a trial and returns whether it was new. Each trial starts once and ends once, in
     * whatever order the messages arrive, so that boxes stop forwarding them.
     */
    boolean apply(CrashTrial received, long nowMs) {
        Fingerprint request = new Fingerprint(received.getFingerprint());
        Trial known = trials.get(request);
        boolean sameTrial = known != null && known.id().equals(received.getTrialId());
        if (received.getEndpoint() == null) {
            if (sameTrial) {
                trials.remove(request);
            }
            return endedAtMs.put(received.getTrialId(), nowMs) == null;
        }
        // Of two trials that start at once, each replaces the other one here, so the current trial alone does not tell.
        boolean started = startedAtMs.put(received.getTrialId(), nowMs) != null;
        if (started || sameTrial || endedAtMs.containsKey(received.getTrialId())) {
            return false;
        }
        start(request, received.getTrialId(), received.getEndpoint(), nowMs);
        return true;
    }

    void removeExpired(long nowMs) {
        trials.values().removeIf(trial -> trial.untilMs() <= nowMs);
        startedAtMs.values().removeIf(atMs -> nowMs - atMs >= ENDED_TRIAL_RETENTION_MS);
        endedAtMs.values().removeIf(atMs -> nowMs - atMs >= ENDED_TRIAL_RETENTION_MS);
    }
}
