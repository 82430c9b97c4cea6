package org.wingstall.relay.pool;

import java.net.InetSocketAddress;
import org.wingstall.relay.wire.PieceResult;

/**
 * What became of a piece, and where its result lies.
 *
 * @param result the result, or why there is none
 * @param maker endpoint that keeps it; null when there is none
 * @param gatherer box that had it made and counts the maker's room; null for this box
 */
record MadePiece(PieceResult result, InetSocketAddress maker, String gatherer) {
    static MadePiece failed(PieceResult.Failure failure) {
        return new MadePiece(PieceResult.failed(failure), null, null);
    }
}
