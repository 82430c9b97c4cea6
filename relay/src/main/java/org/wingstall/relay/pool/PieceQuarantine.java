package org.wingstall.relay.pool;

import java.util.List;
import java.util.Optional;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.net.http.TransportException;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * What the quarantine says of the pieces of one service, and is told of their calls. A piece may be part of many requests, and
 * a call carries pieces of several: all of them are suspected when its endpoint ends. Confined to the request loop.
 */
final class PieceQuarantine {
    private final String service;
    private final Quarantine quarantine;

    PieceQuarantine(String service, Quarantine quarantine) {
        this.service = service;
        this.quarantine = quarantine;
    }

    /** Returns why one of some pieces is not to be sent now. */
    Optional<QuarantineRefusal> hold(List<PieceTask> tickets) {
        return tickets.stream()
                .filter(ticket -> ticket.piece().identifiable())
                .map(ticket -> quarantine.refusal(() -> ticket.piece().fingerprint(service)))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Returns whether an endpoint ended under one of some pieces: they are made apart from other requests' pieces then. */
    boolean anySuspected(List<PieceTask> tickets) {
        return tickets.stream()
                .filter(ticket -> ticket.piece().identifiable())
                .anyMatch(ticket -> quarantine.isSuspected(() -> ticket.piece().fingerprint(service)));
    }

    /** Records that a call ended without an answer. */
    void callLost(List<PieceTask> tickets, RelayEndpoint endpoint, Throwable failure) {
        boolean ended = failure instanceof TransportException broken
                && broken.kind() == TransportException.Kind.RESET
                && broken.requestWritten();
        if (ended) {
            quarantine.endpointLost(
                    tickets.stream()
                            .filter(ticket -> ticket.piece().identifiable())
                            .map(ticket -> ticket.piece().fingerprint(service))
                            .toList(),
                    endpoint.key());
        }
    }

    /** Records that a piece was made. */
    void pieceSucceeded(PieceTask ticket, RelayEndpoint endpoint, long sentAtMs) {
        if (ticket.piece().identifiable()) {
            quarantine.answered(() -> ticket.piece().fingerprint(service), endpoint.key(), sentAtMs, true);
        }
    }
}
