package org.wingstall.relay.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import org.wingstall.net.http.HttpCall;

/**
 * Passes the parts of an endpoint's answer to the caller. The events of a stream that may be taken up again are passed on
 * whole, so that another endpoint can go on after the last one. Confined to the request loop.
 */
final class AnswerRelay {
    private final HttpCall call;
    private final boolean byEvent;
    private final EventTail events = new EventTail();
    private boolean begun;

    AnswerRelay(HttpCall call, boolean byEvent) {
        this.call = call;
        this.byEvent = byEvent;
    }

    /** Returns whether the caller has the head of an answer. */
    boolean begun() {
        return begun;
    }

    /** Returns whether another endpoint can go on where the answer stands. */
    boolean resumable() {
        return !begun || byEvent && events.lastId() != null;
    }

    /** Returns the last event that the caller has, or null. */
    String lastEventId() {
        return events.lastId();
    }

    /** Begins an answer whose parts follow; one that another endpoint goes on with keeps its head. */
    void begin(int status, HttpHeaders headers) {
        events.dropRest();
        if (!begun) {
            begun = true;
            call.begin(status, headers);
        }
    }

    /** Passes a part on; returns whether the caller keeps up. */
    boolean part(ByteBuf content) {
        if (!byEvent) {
            return call.part(content.retainedSlice());
        }
        byte[] whole = events.add(content);
        return whole.length == 0 || call.part(Unpooled.wrappedBuffer(whole));
    }

    /** Sets what to do when the caller keeps up again. */
    void onKeepsUp(Runnable action) {
        call.onWritable(action);
    }

    /** Ends an answer whose parts were passed on; returns whether its last event is whole. */
    boolean end() {
        if (byEvent && events.midEvent()) {
            return false;
        }
        call.end();
        return true;
    }

    /** Passes a whole answer on. */
    void whole(int status, HttpHeaders headers, byte[] body) {
        begun = true;
        call.respond(status, headers, body);
    }
}
