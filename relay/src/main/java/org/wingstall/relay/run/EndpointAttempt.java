package org.wingstall.relay.run;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.List;
import org.wingstall.net.http.HttpExchange;
import org.wingstall.net.http.ResponseListener;
import org.wingstall.net.http.TransportException;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.log.EndpointLoss;
import org.wingstall.relay.wire.AnswerHead;
import org.wingstall.relay.wire.EndpointCall;
import org.wingstall.relay.wire.RelayRequest;

/** One sending of a request to an endpoint. Confined to the request loop. */
final class EndpointAttempt implements ResponseListener {
    /** Longest wait for a connection, in ms; the way there and back takes about one, a busy box some tens. */
    private static final int CONNECT_MS = 250;

    private static final int FIRST_SERVER_ERROR = 500;

    private final RelayParts parts;
    private final RelayRequest request;
    private final EndpointCall wanted;
    private final RelayEndpoint endpoint;
    private final List<String> inputs;
    private final CrashGuard crashes;
    private final Owner owner;
    private final long beganMs;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpExchange exchange;
    private AnswerHead head;
    private long headMs;
    private boolean streaming;
    private boolean ended;

    /** The request that the attempt is for. */
    interface Owner {
        /** The request goes out now; from here on the endpoint may run it. */
        void handedOver();

        /** Returns the way of the answer to the caller. */
        AnswerRelay answer();

        /** The endpoint began to answer, so it has read its inputs. */
        void firstByte();

        /** A whole answer went to the caller. */
        void complete(int status);

        /** Nothing was sent. */
        void unsent(EndpointAttempt ended, String detail);

        /** The endpoint states that it did not run the request. */
        void notRun(EndpointAttempt ended, String detail);

        /** Another endpoint stands at the address, so the one that was meant has not been asked. */
        void misdirected(EndpointAttempt ended, String detail);

        /** There is no whole answer; the request may have run. */
        void lost(EndpointAttempt ended, String detail);

        /** Returns whether a failure that the endpoint answered with goes to the caller. */
        boolean failedAnswerIsFinal(int status);

        /** The endpoint answered with a failure, and another one is to be asked. */
        void failedAtEndpoint(EndpointAttempt ended, int status);
    }

    EndpointAttempt(
            RelayParts parts,
            RelayRequest request,
            EndpointCall wanted,
            RelayEndpoint endpoint,
            List<String> inputs,
            CrashGuard crashes,
            Owner owner) {
        this.parts = parts;
        this.request = request;
        this.wanted = wanted;
        this.endpoint = endpoint;
        this.inputs = inputs;
        this.crashes = crashes;
        this.owner = owner;
        this.beganMs = parts.clock().nowMs();
    }

    List<String> inputs() {
        return inputs;
    }

    void begin() {
        endpoint.state().tryAcquire(Integer.MAX_VALUE);
        exchange = parts.client().send(parts.loop(), parts.wire().call(request, wanted), CONNECT_MS, this);
        if (ended) {
            exchange.cancel();
        }
    }

    /** Ends the attempt without a word to its owner; the endpoint drops the request when the connection closes. */
    void cancel() {
        if (end() && exchange != null) {
            exchange.cancel();
        }
    }

    @Override
    public void requestWritten() {
        owner.handedOver();
    }

    @Override
    public void head(int status, HttpHeaders headers) {
        head = parts.wire().answerHead(status, headers);
        headMs = parts.clock().nowMs();
        head.load().ifPresent(endpoint.state()::reported);
        parts.answers().seen(endpoint, head, beganMs);
        if (head.notRun()) {
            return;
        }
        boolean mine = request.id().equals(head.requestId());
        boolean whole = !head.success() || head.signed();
        if (!mine || !whole) {
            parts.metrics().answerDropped();
            breakOff(mine ? "a success without signature" : "an answer to another request");
            return;
        }
        owner.firstByte();
        streaming = head.success() && head.streamed();
        if (streaming) {
            endpoint.answered(parts.clock().nowMs() - beganMs);
            owner.answer().begin(status, head.toCaller());
            owner.answer().onKeepsUp(() -> exchange.reading(true));
        }
    }

    @Override
    public void content(ByteBuf part) {
        if (ended) {
            return;
        }
        if (streaming) {
            if (!owner.answer().part(part)) {
                exchange.reading(false);
            }
            return;
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void complete() {
        if (ended || head == null) {
            return;
        }
        if (head.notRun()) {
            turnedAway();
        } else if (streaming) {
            endStream();
        } else if (head.success()) {
            end();
            endpoint.answered(parts.clock().nowMs() - beganMs);
            crashes.answered(endpoint, beganMs, true);
            deliver();
        } else {
            failed(head.status());
        }
    }

    private void endStream() {
        end();
        if (owner.answer().end()) {
            crashes.answered(endpoint, beganMs, true);
            owner.complete(head.status());
        } else {
            owner.lost(this, "the stream ended within an event");
        }
    }

    private void deliver() {
        owner.answer().whole(head.status(), head.toCaller(), body.toByteArray());
        owner.complete(head.status());
    }

    private void failed(int status) {
        end();
        crashes.answered(endpoint, beganMs, false);
        if (status >= FIRST_SERVER_ERROR) {
            endpoint.failed("status " + status);
        }
        if (owner.answer().begun()) {
            owner.lost(this, "the endpoint that was to go on with the stream answered with status " + status);
        } else if (owner.failedAnswerIsFinal(status)) {
            deliver();
        } else {
            owner.failedAtEndpoint(this, status);
        }
    }

    private void turnedAway() {
        end();
        String detail = "the endpoint answered with status " + head.status();
        if (head.otherIncarnation()) {
            parts.endpoints().markLeaving(endpoint, "another endpoint stands at its address");
            owner.misdirected(this, detail);
        } else {
            owner.notRun(this, detail);
        }
    }

    @Override
    public void failed(TransportException failure) {
        if (!end()) {
            return;
        }
        endpoint.broken(failure);
        if (failure.requestWritten()) {
            crashes.lost(loss(failure));
            owner.lost(this, failure.getMessage());
        } else {
            owner.unsent(this, failure.getMessage());
        }
    }

    private EndpointLoss loss(TransportException failure) {
        long nowMs = parts.clock().nowMs();
        return new EndpointLoss(endpoint, nowMs - beganMs, head == null ? -1 : nowMs - headMs, failure);
    }

    /** Ends the attempt without an answer of its endpoint; its owner may send the request elsewhere. */
    void breakOff(String detail) {
        if (end()) {
            endpoint.failed(detail);
            exchange.cancel();
            owner.lost(this, detail);
        }
    }

    /** Returns whether the attempt had not ended before. */
    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        endpoint.state().release();
        return true;
    }
}
