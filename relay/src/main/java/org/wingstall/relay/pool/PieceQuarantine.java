package org.wingstall.relay.pool;

import java.util.List;
import java.util.Optional;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.net.http.TransportException;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * Applies the quarantine to the pieces of one service, and reports the ends of their calls to it. The same piece may be
 * part of many requests, and a call carries pieces of several: all of them are suspected when its endpoint crashes.
 * Confined to the request loop.
 */
final class PieceQuarantine {
    private final String service;
    private final Quarantine quarantine;

    PieceQuarantine(String service, Quarantine quarantine) {
        this.service = service;
        this.quarantine = quarantine;
    }

    /** Returns the refusal of the first quarantined piece; empty when all pieces may be sent. */
    Optional<QuarantineRefusal> refusal(List<PieceTask> tasks) {
        return tasks.stream()
                .filter(task -> task.piece().identifiable())
                .map(task -> quarantine.refusal(() -> task.piece().fingerprint(service)))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /**
     * Returns whether a piece is suspected of crashing endpoints; its group is sent without pieces of other requests
     * then.
     */
    boolean anySuspected(List<PieceTask> tasks) {
        return tasks.stream()
                .filter(task -> task.piece().identifiable())
                .anyMatch(task -> quarantine.isSuspected(() -> task.piece().fingerprint(service)));
    }

    /** Reports a lost call to the quarantine if the endpoint reset the connection after the request was written. */
    void callLost(List<PieceTask> tasks, RelayEndpoint endpoint, long sentAtMs, Throwable failure) {
        boolean ended = failure instanceof TransportException broken && broken.closedByPeer();
        if (ended) {
            quarantine.endpointLost(
                    tasks.stream()
                            .filter(task -> task.piece().identifiable())
                            .map(task -> task.piece().fingerprint(service))
                            .toList(),
                    endpoint.key(),
                    sentAtMs);
        }
    }

    /** Reports a response of any kind to a call that was sent at {@code sentAtMs}, in ms of the monotonic clock. */
    void endpointAnswered(RelayEndpoint endpoint, long sentAtMs) {
        quarantine.endpointAnswered(endpoint.key(), sentAtMs);
    }

    /** Reports a successful piece to the quarantine. */
    void pieceSucceeded(PieceTask task, RelayEndpoint endpoint, long sentAtMs) {
        if (task.piece().identifiable()) {
            quarantine.answered(() -> task.piece().fingerprint(service), endpoint.key(), sentAtMs, true);
        }
    }
}
