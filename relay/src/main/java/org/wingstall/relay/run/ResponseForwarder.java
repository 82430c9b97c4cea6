package org.wingstall.relay.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import org.wingstall.net.http.BodyEnd;
import org.wingstall.net.http.HttpCall;

/**
 * Forwards the response of an endpoint to the caller. Resumable streams are forwarded in whole events, so that another
 * endpoint can resume after the last one; others as their bytes come. Confined to the request loop.
 */
final class ResponseForwarder {
    private final HttpCall call;
    private final boolean wholeEvents;
    private final EventStreamParser parser = new EventStreamParser();
    private final EventStreamBuffer eventBuffer = new EventStreamBuffer(parser);
    private boolean started;

    ResponseForwarder(HttpCall call, boolean wholeEvents) {
        this.call = call;
        this.wholeEvents = wholeEvents;
    }

    /** Returns whether a response head was sent to the caller. */
    boolean started() {
        return started;
    }

    /** Returns whether another endpoint can start or resume the response. */
    boolean resumable() {
        return !started || wholeEvents && parser.lastEventId() != null;
    }

    /** Returns the identifier of the last event that was sent to the caller, or null. */
    String lastEventId() {
        return parser.lastEventId();
    }

    /** Returns how far the current endpoint's stream has been read. */
    EventStreamParser progress() {
        return parser;
    }

    /** Starts a streamed response; one that is resumed keeps the head that was already sent. */
    void start(int status, HttpHeaders headers) {
        eventBuffer.discard();
        parser.beginBody();
        if (!started) {
            started = true;
            call.begin(status, headers);
        }
    }

    /** Forwards a part of the body; returns false if the connection to the caller is not writable. */
    boolean forwardPart(ByteBuf content) {
        if (!wholeEvents) {
            parser.follow(content);
            return call.part(content.retainedSlice());
        }
        if (eventBuffer.empty() && parser.readWholeEvents(content)) {
            return call.part(content.retainedSlice());
        }
        byte[] whole = eventBuffer.add(content);
        return whole.length == 0 || call.part(Unpooled.wrappedBuffer(whole));
    }

    /** Sets the action to run when the connection to the caller is writable again. */
    void onWritable(Runnable action) {
        call.onWritable(action);
    }

    /** Ends a streamed response; returns false, and leaves it open, if the endpoint broke its stream off. */
    boolean end(BodyEnd end) {
        boolean complete = complete(end);
        if (complete) {
            call.end();
        }
        return complete;
    }

    /** An endpoint that ends may close its connection in order, so that only the last event shows it. */
    private boolean complete(BodyEnd end) {
        boolean withoutEvents = end == BodyEnd.CONNECTION && parser.events() == 0;
        return !parser.insideEvent() && !withoutEvents;
    }

    /** Forwards a complete response, and runs an action when the caller has taken it. */
    void forwardWhole(int status, HttpHeaders headers, byte[] body, Runnable whenTaken) {
        started = true;
        call.respond(status, headers, body, whenTaken);
    }
}
