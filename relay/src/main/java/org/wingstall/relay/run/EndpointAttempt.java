package org.wingstall.relay.run;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.List;
import org.wingstall.net.http.BodyEnd;
import org.wingstall.net.http.HttpExchange;
import org.wingstall.net.http.ResponseListener;
import org.wingstall.net.http.TransportException;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.StatementReader.Carrier;
import org.wingstall.relay.log.EndpointLoss;
import org.wingstall.relay.wire.EndpointCall;
import org.wingstall.relay.wire.RelayRequest;
import org.wingstall.relay.wire.ResponseHead;

/** One attempt to send a request to an endpoint. Confined to the request loop. */
final class EndpointAttempt implements ResponseListener {
    /** Connect timeout, in ms; a round trip takes about 1 ms, a busy box takes some tens of ms. */
    private static final int CONNECT_TIMEOUT_MS = 250;

    private static final int FIRST_SERVER_ERROR = 500;

    /** Largest event of a stream, in bytes; events hold a few tokens. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final RelayContext context;
    private final RelayRequest request;
    private final EndpointCall endpointCall;
    private final RelayEndpoint endpoint;
    private final List<String> inputs;
    private final RunQuarantine quarantine;
    private final RequestLogEntry record;
    private final Owner owner;
    private final long startedAtMs;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpExchange exchange;
    private ResponseHead head;
    private long headAtMs;
    private boolean streaming;
    private boolean ended;

    /** The request that the attempt is for. */
    interface Owner {
        /** The request is about to be written to the connection; from here on the endpoint may run it. */
        void requestSent();

        /** Returns the forwarder of the response to the caller. */
        ResponseForwarder response();

        /** The response began, so the endpoint has read its inputs. */
        void firstByte();

        /** The endpoint began a stream, or went on with one. */
        void streamBegan(RelayEndpoint endpoint);

        /** A complete response was forwarded to the caller. */
        void complete(int status);

        /** The request was not sent. */
        void notSent(EndpointAttempt ended, String detail);

        /** The endpoint states that it did not run the request. */
        void notRun(EndpointAttempt ended, String detail);

        /** Another endpoint process is at the address, so the intended endpoint did not get the request. */
        void wrongIncarnation(EndpointAttempt ended, String detail);

        /** The response is missing or incomplete; the request may have run. */
        void lost(EndpointAttempt ended, String detail);

        /** The direct path to the endpoint was just found to be lost; the attempt may be given up. */
        void directPathLost(EndpointAttempt current);

        /** Returns whether an error response of the endpoint is forwarded to the caller rather than retried. */
        boolean forwardsFailure(int status);

        /** The endpoint returned an error response, and the request is to be sent to another endpoint. */
        void failedAtEndpoint(EndpointAttempt ended, int status);
    }

    EndpointAttempt(
            RelayContext context,
            RelayRequest request,
            EndpointCall endpointCall,
            RelayEndpoint endpoint,
            List<String> inputs,
            RunQuarantine quarantine,
            RequestLogEntry record,
            Owner owner) {
        this.context = context;
        this.request = request;
        this.endpointCall = endpointCall;
        this.endpoint = endpoint;
        this.inputs = inputs;
        this.quarantine = quarantine;
        this.record = record;
        this.owner = owner;
        this.startedAtMs = context.clock().nowMs();
    }

    List<String> inputs() {
        return inputs;
    }

    void start() {
        record.attempt(endpoint, context.endpoints().ageMs(), startedAtMs);
        endpoint.state().tryAcquire(Integer.MAX_VALUE);
        exchange = context.client()
                .send(context.loop(), context.endpointProtocol().call(request, endpointCall), CONNECT_TIMEOUT_MS, this);
        if (ended) {
            exchange.cancel();
        }
    }

    /** Ends the attempt without notifying its owner; the endpoint drops the request when the connection closes. */
    void cancel() {
        if (markEnded() && exchange != null) {
            exchange.cancel();
        }
    }

    @Override
    public void requestWritten() {
        owner.requestSent();
    }

    /** Tells nothing of this request, and of the endpoint only what it stated before. */
    @Override
    public void surplusAnswer(int status) {
        context.metrics().recordDroppedResponse("surplus");
        record.surplusAnswer(status, context.clock().nowMs());
    }

    @Override
    public void head(int status, HttpHeaders headers) {
        head = context.endpointProtocol().responseHead(status, headers);
        headAtMs = context.clock().nowMs();
        record.answered(head, exchange.describeConnection(), headAtMs);
        context.statementReader().read(endpoint, head, startedAtMs, Carrier.REQUEST);
        if (!head.otherIncarnation()) {
            quarantine.endpointAnswered(endpoint, startedAtMs);
        }
        if (head.notExecuted()) {
            return;
        }
        if (head.success() && !head.signed()) {
            context.metrics().recordDroppedResponse("unsigned");
            abandon("a success without signature");
            return;
        }
        streaming = head.success() && head.streamed();
        if (head.success() && !streaming && owner.response().started()) {
            abandon("an answer that does not go on with the stream");
            return;
        }
        owner.firstByte();
        if (streaming) {
            endpoint.recordAnswer(context.clock().nowMs() - startedAtMs);
            owner.streamBegan(endpoint);
            owner.response().start(status, head.callerHeaders());
            owner.response().onWritable(() -> exchange.reading(true));
        }
    }

    @Override
    public boolean holdsBody() {
        return !streaming;
    }

    @Override
    public void content(ByteBuf part) {
        if (ended) {
            return;
        }
        if (streaming) {
            quarantine.streamContinues(context.clock().nowMs() - headAtMs);
            if (!owner.response().forwardPart(part)) {
                exchange.reading(false);
            }
            if (owner.response().progress().unfinishedBytes() > MAX_EVENT_BYTES) {
                endWithoutEventEnd();
            }
            return;
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        body.writeBytes(bytes);
    }

    private void endWithoutEventEnd() {
        exchange.cancel();
        failed(exchange.brokenOff(
                BodyEnd.CHUNKS, "an event of the stream has more than " + MAX_EVENT_BYTES + " bytes"));
    }

    @Override
    public void complete(BodyEnd end) {
        if (ended || head == null) {
            return;
        }
        if (head.notExecuted()) {
            rejected();
        } else if (streaming) {
            endStream(end);
        } else if (exchange.cutShort(body::toByteArray)) {
            failed(exchange.brokenOff(end, "a body that ends with the start of another answer"));
        } else if (head.success()) {
            markEnded();
            endpoint.recordAnswer(context.clock().nowMs() - startedAtMs);
            quarantine.answered(endpoint, startedAtMs, true);
            deliver();
        } else {
            failed(head.status());
        }
    }

    private void endStream(BodyEnd end) {
        EventStreamParser progress = owner.response().progress();
        quarantine.streamEnded(end, progress);
        if (owner.response().end(end)) {
            markEnded();
            quarantine.answered(endpoint, startedAtMs, true);
            owner.complete(head.status());
        } else {
            failed(exchange.brokenOff(
                    end,
                    "the stream ended after " + progress.events() + " events and " + progress.unfinishedBytes()
                            + " bytes of another"));
        }
    }

    private void deliver() {
        byte[] whole = body.toByteArray();
        Runnable taken = context.client().holdUntilTaken(whole.length);
        owner.response().forwardWhole(head.status(), head.callerHeaders(), whole, taken);
        owner.complete(head.status());
    }

    private void failed(int status) {
        markEnded();
        quarantine.answered(endpoint, startedAtMs, false);
        if (status >= FIRST_SERVER_ERROR) {
            endpoint.recordFailure("status " + status);
        }
        if (owner.response().started()) {
            owner.lost(this, "the endpoint that was to go on with the stream answered with status " + status);
        } else if (owner.forwardsFailure(status)) {
            deliver();
        } else {
            owner.failedAtEndpoint(this, status);
        }
    }

    private void rejected() {
        markEnded();
        String detail = "the endpoint answered with status " + head.status();
        if (head.otherIncarnation()) {
            context.endpoints().markLeaving(endpoint, "another endpoint stands at its address");
            owner.wrongIncarnation(this, detail);
        } else {
            owner.notRun(this, detail);
        }
    }

    @Override
    public void failed(TransportException failure) {
        if (!markEnded()) {
            return;
        }
        endpoint.recordTransportFailure(failure);
        if (failure.kind() == TransportException.Kind.FOREIGN) {
            context.metrics().recordDroppedResponse(failure.kind().code());
            owner.lost(this, failure.getMessage());
        } else if (failure.requestWritten()) {
            quarantine.endpointLost(loss(failure), startedAtMs);
            owner.lost(this, failure.getMessage());
        } else {
            owner.notSent(this, failure.getMessage());
        }
    }

    private EndpointLoss loss(TransportException failure) {
        long nowMs = context.clock().nowMs();
        return new EndpointLoss(endpoint, nowMs - startedAtMs, head == null ? -1 : nowMs - headAtMs, failure);
    }

    @Override
    public void directPathLost() {
        if (!ended) {
            owner.directPathLost(this);
        }
    }

    /** Gives the attempt up without blaming its endpoint; its owner may send the request to another endpoint. */
    void giveUp(String detail) {
        if (markEnded()) {
            exchange.cancel();
            owner.lost(this, detail);
        }
    }

    /** Gives the attempt up as failed; its owner may send the request to another endpoint. */
    void abandon(String detail) {
        if (markEnded()) {
            endpoint.recordFailure(detail);
            exchange.cancel();
            owner.lost(this, detail);
        }
    }

    /** Marks the attempt as ended; returns false if it had ended before. */
    private boolean markEnded() {
        if (ended) {
            return false;
        }
        ended = true;
        endpoint.state().release();
        return true;
    }
}
