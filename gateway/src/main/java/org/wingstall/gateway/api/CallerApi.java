package org.wingstall.gateway.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.core.config.ConfigSnapshot;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.core.limit.WorkspaceLimiter;
import org.wingstall.gateway.GatewayState;
import org.wingstall.gateway.run.RequestContext;
import org.wingstall.gateway.run.RequestRun;
import org.wingstall.gateway.run.RunParts;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.Rejection;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.caller.CallerRequest;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.table.PipelineRow;
import org.wingstall.schema.table.StageRow;
import org.wingstall.schema.table.WorkspaceRow;

/**
 * The API for callers: checks a request, refuses it with a reason or runs it.
 *
 * <p>{@code POST /v1/pipelines/menu-plan/requests}
 *
 * @since 0.1
 */
public final class CallerApi {
    private static final String PREFIX = "/v1/pipelines/";
    private static final String SUFFIX = "/requests";
    private static final String KEY_HEADER = "idempotency-key";

    private final RunParts parts;
    private final ConfigStore config;
    private final WorkspaceLimiter limiter;
    private final GatewayState state;
    private final String idPrefix;
    private final AtomicLong lastId = new AtomicLong();
    private final AtomicInteger inFlight = new AtomicInteger();

    /**
     * Creates the API.
     *
     * @param parts what all requests share
     * @param config the configuration in force
     * @param limiter limits of workspaces
     * @param state whether the gateway takes callers
     * @param idPrefix first part of request identifiers, unique for ever
     */
    public CallerApi(
            RunParts parts, ConfigStore config, WorkspaceLimiter limiter, GatewayState state, String idPrefix) {
        this.parts = parts;
        this.config = config;
        this.limiter = limiter;
        this.state = state;
        this.idPrefix = idPrefix;
    }

    /** Returns the requests that are not over. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Takes a call. */
    public void handle(HttpCall call) {
        if (call.method().equals("GET") && state.answerHealth(call)) {
            return;
        }
        String requestId = idPrefix + "." + Long.toString(lastId.incrementAndGet(), Character.MAX_RADIX);
        try {
            begin(call, check(call, requestId));
        } catch (RefusedException e) {
            refuse(call, requestId, e);
        }
    }

    private void begin(HttpCall call, RequestContext context) {
        boolean streamed = String.valueOf(call.header("accept")).contains(HttpCall.EVENT_STREAM);
        CallerSink sink = streamed ? new EventSink(call, context) : new JsonSink(call, context);
        inFlight.incrementAndGet();
        RequestRun run = new RequestRun(parts, context, sink, inFlight::decrementAndGet);
        call.onDisconnect(run::callerGone);
        run.begin();
    }

    private RequestContext check(HttpCall call, String requestId) throws RefusedException {
        long nowMs = parts.clock().nowMs();
        String pipelineName = pipelineName(call);
        state.checkTakesCallers();
        CallerRequest request = read(call);
        ConfigSnapshot snapshot = config.current();
        PipelineRow pipeline = snapshot.pipeline(pipelineName)
                .orElseThrow(() -> new RefusedException(
                        Reason.UNKNOWN_PIPELINE, "pipeline '" + pipelineName + "' is not configured", 0));
        WorkspaceRow workspace = snapshot.workspace(request.getWorkspace())
                .orElseThrow(() -> new RefusedException(
                        Reason.UNKNOWN_WORKSPACE, "workspace '" + request.getWorkspace() + "' is not configured", 0));
        long deadlineMs = deadlineMs(request, pipeline);
        checkKey(request, pipeline);
        limiter.admit(workspace);
        return new RequestContext(
                requestId,
                pipeline,
                workspace,
                request.getInput(),
                request.getIdempotencyKey(),
                request.getIdempotencyKey() == null ? "" : fingerprint(pipelineName, request.getInput()),
                nowMs,
                nowMs + deadlineMs,
                call.eventLoop());
    }

    private static String pipelineName(HttpCall call) throws RefusedException {
        String path = call.path();
        boolean matches =
                path.startsWith(PREFIX) && path.endsWith(SUFFIX) && path.length() > PREFIX.length() + SUFFIX.length();
        if (!matches || !call.method().equals("POST")) {
            String detail = call.method() + " " + path + " is not known; valid: POST " + PREFIX + "{name}" + SUFFIX;
            throw new RefusedException(Reason.NOT_FOUND, detail, 0);
        }
        return path.substring(PREFIX.length(), path.length() - SUFFIX.length());
    }

    private static CallerRequest read(HttpCall call) throws RefusedException {
        try {
            JsonNode tree = Json.readTree(call.body());
            String key = call.header(KEY_HEADER);
            if (key != null && tree instanceof ObjectNode object && !object.has("idempotencyKey")) {
                object.put("idempotencyKey", key);
            }
            return SchemaCheck.of(CallerRequest.class).read(tree);
        } catch (InvalidDocumentException e) {
            throw new RefusedException(Reason.BAD_REQUEST, e.getMessage(), 0);
        }
    }

    private static long deadlineMs(CallerRequest request, PipelineRow pipeline) throws RefusedException {
        long wanted = request.getDeadlineMs();
        if (wanted > pipeline.getDeadlineMs()) {
            String detail = "deadlineMs: '" + wanted + "' is not valid; valid: at most the pipeline's, "
                    + pipeline.getDeadlineMs();
            throw new RefusedException(Reason.BAD_DEADLINE, detail, 0);
        }
        return wanted == 0 ? pipeline.getDeadlineMs() : wanted;
    }

    private static void checkKey(CallerRequest request, PipelineRow pipeline) throws RefusedException {
        boolean onceOnly = pipeline.getStages().stream().anyMatch(stage -> !isRepeatable(stage));
        if (onceOnly && request.getIdempotencyKey() == null) {
            String detail = "pipeline '" + pipeline.getName() + "' has a stage that is not repeatable: give a key";
            throw new RefusedException(Reason.MISSING_KEY, detail, 0);
        }
    }

    private static boolean isRepeatable(StageRow stage) {
        return stage.isRepeatable();
    }

    private static String fingerprint(String pipeline, JsonNode input) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(pipeline.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) '\n');
            return HexFormat.of().formatHex(digest.digest(Json.write(input)), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform has SHA-256", e);
        }
    }

    private void refuse(HttpCall call, String requestId, RefusedException refusal) {
        parts.metrics().refused(refusal.reason());
        Answer answer = refusedAnswer(requestId, refusal.reason(), refusal.getMessage(), refusal.retryAfterMs());
        parts.recent().remember(answer);
        CallerSink.respond(call, answer, refusal.reason(), false);
    }

    private static Answer refusedAnswer(String requestId, Reason reason, String detail, long retryAfterMs) {
        return new Answer(requestId, reason.outcome(), reason.code(), detail, null, retryAfterMs, null, List.of());
    }

    /** Makes the body of a request that the HTTP server turned away, and counts it. */
    public byte[] rejected(Rejection rejection) {
        Reason reason =
                switch (rejection) {
                    case BAD_HTTP -> Reason.BAD_REQUEST;
                    case BODY_TOO_LARGE -> Reason.BODY_TOO_LARGE;
                    case SLOW_REQUEST -> Reason.SLOW_REQUEST;
                    case TOO_MANY_CONNECTIONS -> Reason.TOO_MANY_CONNECTIONS;
                };
        parts.metrics().refused(reason);
        boolean comeBack = reason == Reason.TOO_MANY_CONNECTIONS;
        long retryAfterMs = comeBack ? parts.retryAfter().jitteredMs(1000) : 0;
        String requestId = idPrefix + "." + Long.toString(lastId.incrementAndGet(), Character.MAX_RADIX);
        return Json.write(refusedAnswer(requestId, reason, "the request was not taken in", retryAfterMs));
    }
}
