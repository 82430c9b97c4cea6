package org.wingstall.relay.wire;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.List;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.schema.check.InvalidDocumentException;

/**
 * How endpoints are spoken to; translates, and decides nothing.
 *
 * <p>{@code client.send(loop, wire.call(request, call), 300, listener);}
 *
 * @since 0.2
 */
public interface EndpointProtocol {
    /** Encodes a caller's request for an endpoint. */
    OutgoingRequest call(RelayRequest request, EndpointCall call);

    /** Decodes the head of an endpoint's answer. */
    ResponseHead responseHead(int status, HttpHeaders headers);

    /** Encodes a call for pieces. */
    OutgoingRequest pieces(EndpointIdentity endpoint, List<Piece> pieces, List<Long> remainingMs);

    /**
     * Decodes the answer to a call for pieces.
     *
     * @param body body of the answer
     * @return what became of each piece, in the order of the call
     * @throws InvalidDocumentException if the body is no such answer
     */
    List<PieceResult> pieceResults(byte[] body) throws InvalidDocumentException;

    /** Encodes the giving up of results at their maker. */
    OutgoingRequest free(InetSocketAddress maker, List<String> handles);

    /** Encodes the question for an endpoint's state. */
    OutgoingRequest report(EndpointIdentity endpoint);

    /**
     * Decodes what an endpoint says of its state.
     *
     * @param body body of the answer
     * @return the report
     * @throws InvalidDocumentException if the body is no such answer
     */
    EndpointReport endpointReport(byte[] body) throws InvalidDocumentException;
}
