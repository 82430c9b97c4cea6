package org.wingstall.relay.pool;

import java.net.InetSocketAddress;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.relay.wire.PieceResult;

/**
 * The outcome of a piece, and where its result is stored.
 *
 * @param result the result, or the reason for the failure
 * @param endpointAddress endpoint that stores the result; null when there is none
 * @param coordinator box that ran or failed the piece, and tracks the result capacity; null for this box
 * @param retryTime time until a rejected request is likely to be accepted; 0 ms when that is not known
 */
record PieceOutcome(PieceResult result, InetSocketAddress endpointAddress, String coordinator, RetryTime retryTime) {
    static PieceOutcome success(PieceResult result, InetSocketAddress endpointAddress, String coordinator) {
        return new PieceOutcome(result, endpointAddress, coordinator, RetryTime.UNKNOWN);
    }

    static PieceOutcome failed(PieceResult.Failure failure) {
        return failed(failure, RetryTime.UNKNOWN);
    }

    static PieceOutcome failed(PieceResult.Failure failure, RetryTime retryTime) {
        return failed(failure, null, retryTime);
    }

    static PieceOutcome failed(PieceResult.Failure failure, String coordinator, RetryTime retryTime) {
        return new PieceOutcome(PieceResult.failed(failure), null, coordinator, retryTime);
    }
}
