package org.wingstall.relay.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import org.wingstall.net.http.HttpCall;

/**
 * Passes the parts of an endpoint's answer to the caller. The events of a stream that may be taken up again are passed on
 * whole, so that another endpoint can go on after the last one. Confined to the request loop.
 */
final class ResponseForwarder {
    private final HttpCall call;
    private final boolean wholeEvents;
    private final EventStreamBuffer eventBuffer = new EventStreamBuffer();
    private boolean started;

    ResponseForwarder(HttpCall call, boolean wholeEvents) {
        this.call = call;
        this.wholeEvents = wholeEvents;
    }

    /** Returns whether the caller has the head of an answer. */
    boolean started() {
        return started;
    }

    /** Returns whether another endpoint can go on where the answer stands. */
    boolean resumable() {
        return !started || wholeEvents && eventBuffer.lastEventId() != null;
    }

    /** Returns the last event that the caller has, or null. */
    String lastEventId() {
        return eventBuffer.lastEventId();
    }

    /** Begins an answer whose parts follow; one that another endpoint goes on with keeps its head. */
    void start(int status, HttpHeaders headers) {
        eventBuffer.discardPartialEvent();
        if (!started) {
            started = true;
            call.begin(status, headers);
        }
    }

    /** Passes a part on; returns whether the caller keeps up. */
    boolean forwardPart(ByteBuf content) {
        if (!wholeEvents) {
            return call.part(content.retainedSlice());
        }
        byte[] whole = eventBuffer.add(content);
        return whole.length == 0 || call.part(Unpooled.wrappedBuffer(whole));
    }

    /** Sets what to do when the caller keeps up again. */
    void onWritable(Runnable action) {
        call.onWritable(action);
    }

    /** Ends an answer whose parts were passed on; returns whether its last event is whole. */
    boolean end() {
        if (wholeEvents && eventBuffer.hasPartialEvent()) {
            return false;
        }
        call.end();
        return true;
    }

    /** Passes a whole answer on. */
    void forwardWhole(int status, HttpHeaders headers, byte[] body) {
        started = true;
        call.respond(status, headers, body);
    }
}
