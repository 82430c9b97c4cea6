package org.wingstall.core.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which endpoint incarnations were lost and have not answered since. A request that is sent to such an
 * endpoint and lost as well is not suspected: the endpoint had ended before. Not thread-safe.
 */
final class LostEndpoints {
    private final Map<String, Loss> losses = new HashMap<>();
    private final long explainsMs;
    private final long retentionMs;

    /** The losses of one incarnation since its last answer. */
    private record Loss(long firstAtMs, long lastAtMs) {}

    /**
     * Creates an empty table.
     *
     * @param explainsMs time after the first loss for which it explains later ones, in ms
     * @param retentionMs time after the last loss for which an answer is recognized as one that refutes it, in ms
     */
    LostEndpoints(long explainsMs, long retentionMs) {
        this.explainsMs = explainsMs;
        this.retentionMs = retentionMs;
    }

    /**
     * Records that the connection to an endpoint ended under a request.
     *
     * @param endpoint the incarnation
     * @param sentAtMs when the request was sent there
     * @param nowMs the time
     * @return whether the request may have ended the endpoint, because no earlier loss was known when it was sent
     */
    boolean recordLoss(String endpoint, long sentAtMs, long nowMs) {
        Loss known = losses.get(endpoint);
        if (known == null || nowMs - known.firstAtMs() >= explainsMs) {
            losses.put(endpoint, new Loss(nowMs, nowMs));
            return true;
        }
        losses.put(endpoint, new Loss(known.firstAtMs(), nowMs));
        return sentAtMs <= known.firstAtMs();
    }

    /**
     * Records a loss that another box observed at {@code lostAtMs}.
     *
     * @return whether the endpoint was not known as lost before
     */
    boolean recordReportedLoss(String endpoint, long lostAtMs, long nowMs) {
        if (nowMs - lostAtMs >= explainsMs) {
            return false;
        }
        boolean known = losses.containsKey(endpoint);
        losses.merge(
                endpoint,
                new Loss(lostAtMs, lostAtMs),
                (before, reported) -> new Loss(
                        Math.min(before.firstAtMs(), reported.firstAtMs()),
                        Math.max(before.lastAtMs(), reported.lastAtMs())));
        return !known;
    }

    /**
     * Records a response to a request that was sent to an endpoint at {@code sentAtMs}.
     *
     * @return whether the response shows that the endpoint did not end with its last loss
     */
    boolean recordAnswer(String endpoint, long sentAtMs) {
        Loss known = losses.get(endpoint);
        if (known == null || sentAtMs <= known.firstAtMs()) {
            return false;
        }
        if (sentAtMs <= known.lastAtMs()) {
            losses.put(endpoint, new Loss(known.lastAtMs(), known.lastAtMs()));
            return false;
        }
        losses.remove(endpoint);
        return true;
    }

    void removeExpired(long nowMs) {
        losses.values().removeIf(loss -> nowMs - loss.lastAtMs() >= retentionMs);
    }
}
