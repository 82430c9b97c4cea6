package org.wingstall.relay.wire;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.List;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.schema.check.InvalidDocumentException;

/**
 * Encodes calls to endpoints and decodes their responses; makes no decisions.
 *
 * <p>{@code client.send(loop, endpointProtocol.call(request, call), 300, listener);}
 *
 * @since 0.2
 */
public interface EndpointProtocol {
    /** Encodes a caller's request for an endpoint. */
    OutgoingRequest call(RelayRequest request, EndpointCall call);

    /** Decodes the status and headers of an endpoint's response. */
    ResponseHead responseHead(int status, HttpHeaders headers);

    /** Encodes a call for pieces. */
    OutgoingRequest pieces(EndpointIdentity endpoint, List<Piece> pieces, List<Long> remainingMs);

    /**
     * Decodes the response to a call for pieces.
     *
     * @param body body of the response
     * @return the result of each piece, in the order of the call
     * @throws InvalidDocumentException if the body is not a valid response
     */
    List<PieceResult> pieceResults(byte[] body) throws InvalidDocumentException;

    /** Encodes a call that frees results at the endpoint that stores them. */
    OutgoingRequest free(InetSocketAddress endpointAddress, List<String> handles);

    /** Encodes a state query to an endpoint. */
    OutgoingRequest report(EndpointIdentity endpoint);

    /**
     * Decodes the response to a state query.
     *
     * @param body body of the response
     * @return the report
     * @throws InvalidDocumentException if the body is not a valid report
     */
    EndpointReport endpointReport(byte[] body) throws InvalidDocumentException;
}
