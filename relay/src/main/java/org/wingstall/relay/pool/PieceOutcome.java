package org.wingstall.relay.pool;

import java.net.InetSocketAddress;
import org.wingstall.relay.wire.PieceResult;

/**
 * What became of a piece, and where its result lies.
 *
 * @param result the result, or why there is none
 * @param maker endpoint that keeps it; null when there is none
 * @param gatherer box that had it made and counts the maker's room; null for this box
 * @param againMs when there is likely room for a request that was turned away, in ms; 0 when that is not known
 */
record PieceOutcome(PieceResult result, InetSocketAddress endpointAddress, String coordinator, long retryAfterMs) {
    static PieceOutcome success(PieceResult result, InetSocketAddress maker, String gatherer) {
        return new PieceOutcome(result, maker, gatherer, 0);
    }

    static PieceOutcome failed(PieceResult.Failure failure) {
        return failed(failure, 0);
    }

    static PieceOutcome failed(PieceResult.Failure failure, long againMs) {
        return new PieceOutcome(PieceResult.failed(failure), null, null, againMs);
    }
}
