package org.wingstall.relay.pool;

import java.net.InetSocketAddress;
import org.wingstall.relay.wire.PieceResult;

/** What became of a piece, and where its result lies; the maker is null when there is none. */
record MadePiece(PieceResult result, InetSocketAddress maker) {
    static MadePiece failed(PieceResult.Failure failure) {
        return new MadePiece(PieceResult.failed(failure), null);
    }
}
