package org.wingstall.relay.wire;

import org.wingstall.core.answer.RefusedException;
import org.wingstall.net.http.HttpCall;

/**
 * How callers are spoken to; translates, and decides nothing.
 *
 * <p>{@code RelayRequest request = wire.decode(call);}
 *
 * @since 0.2
 */
public interface CallerProtocol {
    /**
     * Decodes a request.
     *
     * @param call the call
     * @return the request
     * @throws RefusedException if it lacks what every request must have
     */
    RelayRequest decode(HttpCall call) throws RefusedException;

    /** Returns the identifier that a call carries, for the log; null when it has none. */
    String requestId(HttpCall call);

    /** Answers a request that gets no endpoint's answer. */
    void refuse(HttpCall call, RefusedException refusal);
}
