package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.retry.AttemptTimeouts;
import org.wingstall.core.retry.RetryRules.AttemptOutcome;
import org.wingstall.core.route.EndpointState;
import org.wingstall.net.http.BodyEnd;
import org.wingstall.net.http.EventReader;
import org.wingstall.net.http.HttpExchange;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.net.http.ResponseListener;
import org.wingstall.net.http.TransportException;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.endpoint.EndpointLoad;
import org.wingstall.schema.endpoint.StageAnswer;
import org.wingstall.schema.endpoint.StageCall;
import org.wingstall.schema.endpoint.TokenEvent;

/** One call of a stage at one endpoint; tells its owner once how it ended, on the request's event loop. */
final class StageAttempt implements ResponseListener {
    private static final String NOT_RUN_HEADER = "wingstall-not-run";
    private static final int OK = 200;

    private final RunParts parts;
    private final RequestContext context;
    private final EndpointState endpoint;
    private final StageCall call;
    private final boolean streamed;
    private final boolean repeatable;
    private final Owner owner;
    private final long beganMs;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final EventReader events = new EventReader(this::event);
    private HttpExchange exchange;
    private ScheduledFuture<?> progressTimer;
    private int status;
    private boolean refusedUnrun;
    private boolean ended;
    private boolean progressed;

    /** The stage that the attempt belongs to. */
    interface Owner {
        /** The call is about to be handed to the endpoint. */
        void handedOver();

        /** A token came; indexes may repeat or leave gaps. Returns whether the stream may go on. */
        boolean token(StageAttempt attempt, int index, String text);

        /** A head of a response came, whatever its status: the endpoint was alive after the call was sent. */
        void endpointAnswered(StageAttempt attempt);

        /** The stage's output is whole. */
        void answered(StageAttempt attempt, JsonNode output);

        /** An engine's stream is whole and had this many tokens. */
        void streamEnded(StageAttempt attempt, int tokens);

        /** The connection ended under a call that may run; {@link #ended} follows. */
        void connectionEnded(StageAttempt attempt);

        /** There is no answer. */
        void ended(StageAttempt attempt, AttemptOutcome end, String detail);

        /** Returns the time allowed until the first sign of an answer, in ms. */
        long firstProgressMs();

        /** The first sign of an answer came. */
        void firstProgress(long afterMs);

        /** The time allowed passed without progress. Returns whether the call is to be tried elsewhere. */
        boolean moves(StageAttempt attempt);
    }

    StageAttempt(
            RunParts parts,
            RequestContext context,
            EndpointState endpoint,
            StageCall call,
            boolean streamed,
            boolean repeatable,
            Owner owner) {
        this.parts = parts;
        this.context = context;
        this.endpoint = endpoint;
        this.call = call;
        this.streamed = streamed;
        this.repeatable = repeatable;
        this.owner = owner;
        this.beganMs = parts.clock().nowMs();
    }

    EndpointState endpoint() {
        return endpoint;
    }

    /** Returns whether a first sign of an answer came. */
    boolean progressed() {
        return progressed;
    }

    /** Returns when the call began, in ms of the monotonic clock. */
    long beganMs() {
        return beganMs;
    }

    long ranMs() {
        return parts.clock().nowMs() - beganMs;
    }

    void begin() {
        OutgoingRequest request = OutgoingRequest.post(endpoint.address(), "/v1/stage", Json.write(call));
        OutgoingRequest outgoing = repeatable ? request : request.fresh();
        int connectTimeoutMs = (int) parts.settings().getPolicy().getConnectTimeoutMs();
        if (repeatable) {
            armProgress(owner.firstProgressMs());
        }
        exchange = parts.client().send(context.loop(), outgoing, connectTimeoutMs, this);
        if (ended) {
            exchange.cancel();
        }
    }

    /** Ends the attempt without a word to its owner. */
    void cancel() {
        if (end()) {
            exchange.cancel();
        }
    }

    @Override
    public void requestWritten() {
        owner.handedOver();
    }

    @Override
    public void head(int code, HttpHeaders headers) {
        status = code;
        refusedUnrun = headers.contains(NOT_RUN_HEADER);
        owner.endpointAnswered(this);
    }

    @Override
    public void content(ByteBuf part) {
        if (streamed && status == OK) {
            events.read(part);
            return;
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void complete(BodyEnd end) {
        if (status != OK) {
            AttemptOutcome kind = refusedUnrun ? AttemptOutcome.REFUSED_UNRUN : AttemptOutcome.FAILED;
            finish(kind, "the endpoint answered with status " + status);
        } else if (streamed) {
            finish(AttemptOutcome.LOST, "the stream ended before its last event");
        } else {
            readAnswer();
        }
    }

    @Override
    public void failed(TransportException failure) {
        if (!ended && failure.requestWritten() && failure.kind() == TransportException.Kind.RESET) {
            owner.connectionEnded(this);
        }
        finish(failure.requestWritten() ? AttemptOutcome.LOST : AttemptOutcome.NOT_SENT, failure.getMessage());
    }

    private void readAnswer() {
        try {
            StageAnswer answer = Json.read(body.toByteArray(), StageAnswer.class);
            noteLoad(answer.getLoad());
            boolean mine = call.getRequestId().equals(answer.getRequestId())
                    && call.getStage().equals(answer.getStage())
                    && call.getAttempt() == answer.getAttempt();
            if (!mine) {
                parts.metrics().answerDropped();
                finish(AttemptOutcome.MISMATCHED, "the answer belonged to another call");
            } else if (end()) {
                noteProgress();
                owner.answered(this, answer.getOutput());
            }
        } catch (InvalidDocumentException e) {
            finish(AttemptOutcome.MISMATCHED, e.getMessage());
        }
    }

    private void event(byte[] data) {
        if (ended) {
            return;
        }
        try {
            TokenEvent event = Json.read(data, TokenEvent.class);
            noteLoad(event.getLoad());
            boolean mine = call.getRequestId().equals(event.getRequestId())
                    && call.getStage().equals(event.getStage())
                    && call.getAttempt() == event.getAttempt();
            if (mine) {
                accept(event);
            } else {
                parts.metrics().answerDropped();
                cancelExchange(AttemptOutcome.MISMATCHED, "an event belonged to another call");
            }
        } catch (InvalidDocumentException e) {
            cancelExchange(AttemptOutcome.MISMATCHED, e.getMessage());
        }
    }

    private void accept(TokenEvent event) {
        endpoint.recordActivity();
        noteProgress();
        if (event.isDone()) {
            if (end()) {
                owner.streamEnded(this, event.getIndex());
            }
            return;
        }
        armProgress(AttemptTimeouts.BETWEEN_TOKENS_MS);
        if (!owner.token(this, event.getIndex(), event.getToken())) {
            cancelExchange(AttemptOutcome.MISMATCHED, "a token is missing before index " + event.getIndex());
        }
    }

    private void noteProgress() {
        if (!progressed) {
            progressed = true;
            owner.firstProgress(ranMs());
        }
    }

    private void noteLoad(EndpointLoad load) {
        if (load == null) {
            return;
        }
        endpoint.recordReportedLoad(load.getInFlight());
        if (load.isLeaving() && !endpoint.leaving()) {
            parts.leaving().leaving(endpoint);
        }
    }

    private void armProgress(long allowedMs) {
        if (progressTimer != null) {
            progressTimer.cancel(false);
        }
        progressTimer = context.loop().schedule(() -> noProgress(allowedMs), allowedMs, TimeUnit.MILLISECONDS);
    }

    /** Breaking off pays only where the call can be tried elsewhere; else the endpoint keeps it until the deadline. */
    private void noProgress(long allowedMs) {
        if (owner.moves(this)) {
            cancelExchange(AttemptOutcome.TIMED_OUT, "no progress within " + allowedMs + " ms");
        } else {
            armProgress(allowedMs);
        }
    }

    private void cancelExchange(AttemptOutcome kind, String detail) {
        if (exchange != null) {
            exchange.cancel();
        }
        boolean handedOver = exchange != null && exchange.requestWritten();
        boolean neverSent = kind == AttemptOutcome.TIMED_OUT && !handedOver;
        finish(neverSent ? AttemptOutcome.NOT_SENT : kind, detail);
    }

    private void finish(AttemptOutcome kind, String detail) {
        if (end()) {
            owner.ended(this, kind, detail);
        }
    }

    /** Returns whether the attempt had not ended before. */
    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        if (progressTimer != null) {
            progressTimer.cancel(false);
        }
        return true;
    }

    /** Returns the output of an engine's whole stream. */
    static JsonNode textOutput(String text) {
        return Json.MAPPER.createObjectNode().set("text", TextNode.valueOf(text));
    }
}
