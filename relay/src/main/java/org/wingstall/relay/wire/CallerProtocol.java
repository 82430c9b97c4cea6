package org.wingstall.relay.wire;

import org.wingstall.core.answer.RefusedException;
import org.wingstall.net.http.HttpCall;

/**
 * Decodes requests of callers and encodes refusals; makes no decisions.
 *
 * <p>{@code RelayRequest request = callerProtocol.decode(call);}
 *
 * @since 0.2
 */
public interface CallerProtocol {
    /**
     * Decodes a request.
     *
     * @param call the call
     * @return the request
     * @throws RefusedException if a required part of the request is missing
     */
    RelayRequest decode(HttpCall call) throws RefusedException;

    /** Returns the request identifier of a call, for the log; null when it has none. */
    String requestId(HttpCall call);

    /** Sends a refusal to the caller of a request that gets no response of an endpoint. */
    void refuse(HttpCall call, RefusedException refusal);
}
