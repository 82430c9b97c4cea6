package org.wingstall.net.http;

import io.netty.buffer.ByteBuf;

/**
 * Told of the parts of an answer, on the event loop of the call; ends with exactly one of the last two methods.
 *
 * <p>{@code client.send(loop, request, connectTimeoutMs, listener);}
 *
 * @since 0.1
 */
public interface ResponseListener {
    /** The request is about to be handed to the connection; from here on it may run. */
    default void requestWritten() {}

    /** The answer to an earlier request on the connection came once more and is skipped; the answer is still due. */
    default void surplusAnswer(int status) {}

    /** The head of the answer came. */
    void head(int status, io.netty.handler.codec.http.HttpHeaders headers);

    /** Returns whether the body that follows the head is held until it is whole, which bounds its length. */
    default boolean holdsBody() {
        return true;
    }

    /** Some of the body came; the buffer is the caller's only during the call. */
    void content(ByteBuf part);

    /** The connection leads straight to an address that is reached by way of other boxes only, as was just found. */
    default void directPathLost() {}

    /**
     * The answer is whole, as far as its framing shows.
     *
     * @param end how its end was recognised
     */
    void complete(BodyEnd end);

    /** There will be no whole answer. */
    void failed(TransportException failure);
}
