package org.wingstall.relay.pool;

import java.net.InetSocketAddress;
import org.wingstall.relay.wire.PieceResult;

/**
 * The outcome of a piece, and where its result is stored.
 *
 * @param result the result, or the reason for the failure
 * @param endpointAddress endpoint that stores the result; null when there is none
 * @param coordinator box that ran or failed the piece, and tracks the result capacity; null for this box
 * @param retryAfterMs time until a rejected request is likely to be accepted, in ms; 0 when that is not known
 */
record PieceOutcome(PieceResult result, InetSocketAddress endpointAddress, String coordinator, long retryAfterMs) {
    static PieceOutcome success(PieceResult result, InetSocketAddress endpointAddress, String coordinator) {
        return new PieceOutcome(result, endpointAddress, coordinator, 0);
    }

    static PieceOutcome failed(PieceResult.Failure failure) {
        return failed(failure, 0);
    }

    static PieceOutcome failed(PieceResult.Failure failure, long retryAfterMs) {
        return failed(failure, null, retryAfterMs);
    }

    static PieceOutcome failed(PieceResult.Failure failure, String coordinator, long retryAfterMs) {
        return new PieceOutcome(PieceResult.failed(failure), null, coordinator, retryAfterMs);
    }
}
