package org.wingstall.core.answer;

import org.wingstall.schema.caller.Answer;

/**
 * Lists the reasons for which a request ends with an outcome other than {@code complete}.
 *
 * <p>{@code Reason.WORKSPACE_LIMIT.code()} is {@code "workspace-limit"}; each reason has its own counter.
 *
 * @since 0.1
 */
public enum Reason {
    /** The body is not JSON or violates the request schema. */
    BAD_REQUEST("bad-request", Answer.Outcome.NOT_RUN, 400),
    /** The path or method is unknown. */
    NOT_FOUND("not-found", Answer.Outcome.NOT_RUN, 404),
    /** The body is larger than the settings allow. */
    BODY_TOO_LARGE("body-too-large", Answer.Outcome.NOT_RUN, 413),
    /** The request took too long to arrive. */
    SLOW_REQUEST("slow-request", Answer.Outcome.NOT_RUN, 408),
    /** Too many callers are connected. */
    TOO_MANY_CONNECTIONS("too-many-connections", Answer.Outcome.NOT_RUN, 429),
    /** No pipeline has the name. */
    UNKNOWN_PIPELINE("unknown-pipeline", Answer.Outcome.NOT_RUN, 404),
    /** No route takes requests of the host and path. */
    UNKNOWN_ROUTE("unknown-route", Answer.Outcome.NOT_RUN, 404),
    /** No workspace has the API key. */
    UNKNOWN_KEY("unknown-key", Answer.Outcome.NOT_RUN, 401),
    /** No workspace has the name. */
    UNKNOWN_WORKSPACE("unknown-workspace", Answer.Outcome.NOT_RUN, 403),
    /** Route and workspace are restricted to regions, and have none in common. */
    NO_COMMON_REGION("no-common-region", Answer.Outcome.NOT_RUN, 403),
    /** A pipeline with a stage that is not repeatable needs an idempotency key. */
    MISSING_KEY("missing-key", Answer.Outcome.NOT_RUN, 400),
    /** The deadline is longer than the pipeline's. */
    BAD_DEADLINE("bad-deadline", Answer.Outcome.NOT_RUN, 400),
    /** The idempotency key was used for another body. */
    KEY_REUSED("key-reused", Answer.Outcome.NOT_RUN, 422),
    /** The workspace has used up this gateway's share of its rate limit. */
    WORKSPACE_LIMIT("workspace-limit", Answer.Outcome.NOT_RUN, 429),
    /** The response could not be ready before the deadline. */
    DEADLINE_UNREACHABLE("deadline-unreachable", Answer.Outcome.NOT_RUN, 503),
    /** The deadline passed before anything ran. */
    DEADLINE_PASSED_WAITING("deadline-passed-waiting", Answer.Outcome.NOT_RUN, 503),
    /** No endpoint of the first service can take the request. */
    NO_ENDPOINT("no-endpoint", Answer.Outcome.NOT_RUN, 503),
    /** No box knows which software version began the stream that is to be resumed. */
    STREAM_VERSION_UNKNOWN("stream-version-unknown", Answer.Outcome.NOT_RUN, 503),
    /** No endpoint runs the software version that began the stream that is to be resumed. */
    STREAM_VERSION_GONE("stream-version-gone", Answer.Outcome.NOT_RUN, 503),
    /** The endpoints rejected the request before running it. */
    ENDPOINTS_BUSY("endpoints-busy", Answer.Outcome.NOT_RUN, 503),
    /** A stage before the request produced no result, so the request itself was never sent. */
    STAGE_WITHOUT_RESULT("stage-without-result", Answer.Outcome.NOT_RUN, 503),
    /** Several endpoints were lost while they ran this request, so it is not sent to another one. */
    QUARANTINED("quarantined", Answer.Outcome.NOT_RUN, 503),
    /** Endpoints were lost while they ran this request, and it is on trial on one endpoint now. */
    SUSPECT_ON_TRIAL("suspect-on-trial", Answer.Outcome.NOT_RUN, 503),
    /** Several endpoints were lost while they ran different requests with a part of this prompt. */
    PROMPT_PART_QUARANTINED("prompt-part-quarantined", Answer.Outcome.NOT_RUN, 503),
    /** Endpoints were lost while they ran requests with a part of this prompt, and it is on trial on one endpoint now. */
    PROMPT_PART_ON_TRIAL("prompt-part-on-trial", Answer.Outcome.NOT_RUN, 503),
    /** The platform's table could not decide the claim in time. */
    TABLE_UNAVAILABLE("table-unavailable", Answer.Outcome.NOT_RUN, 503),
    /** The gateway has no configuration or no membership list yet. */
    NOT_READY("not-ready", Answer.Outcome.NOT_RUN, 503),
    /** The gateway is in a planned stop. */
    STOPPING("stopping", Answer.Outcome.NOT_RUN, 503),
    /** The caller disconnected before anything ran. */
    CALLER_GONE_WAITING("caller-gone-waiting", Answer.Outcome.NOT_RUN, 499),
    /** Another attempt holds the idempotency key and is within its deadline. */
    CLAIM_HELD("claim-held", Answer.Outcome.IN_PROGRESS, 409),
    /** Another attempt held the idempotency key past its deadline and recorded no answer. */
    CLAIM_UNFINISHED("claim-unfinished", Answer.Outcome.UNKNOWN, 504),
    /** The request has run, but its recorded answer can't be read now. */
    ANSWER_UNREADABLE("answer-unreadable", Answer.Outcome.UNKNOWN, 503),
    /** A stage that is not repeatable was called and gave no response. */
    STAGE_UNANSWERED("stage-unanswered", Answer.Outcome.UNKNOWN, 504),
    /** The endpoint that the request was sent to did not give a complete response. */
    ENDPOINT_LOST("endpoint-lost", Answer.Outcome.UNKNOWN, 502),
    /** The planned stop of the gateway ended while the request ran. */
    STOPPING_RUNNING("stopping-running", Answer.Outcome.UNKNOWN, 502),
    /** An endpoint answered that the stage failed. */
    STAGE_FAILED("stage-failed", Answer.Outcome.FAILED, 502),
    /** No attempt at a repeatable stage gave a response. */
    RETRIES_EXHAUSTED("retries-exhausted", Answer.Outcome.FAILED, 502),
    /** No endpoint could take a later stage. */
    NO_ENDPOINT_LATER("no-endpoint-later", Answer.Outcome.FAILED, 503),
    /** The deadline passed after a stage had run. */
    DEADLINE_PASSED_RUNNING("deadline-passed-running", Answer.Outcome.FAILED, 504),
    /** After some stages had run, the response could no longer be ready before the deadline. */
    DEADLINE_UNREACHABLE_LATER("deadline-unreachable-later", Answer.Outcome.FAILED, 504),
    /** The caller disconnected after a stage had run. */
    CALLER_GONE_RUNNING("caller-gone-running", Answer.Outcome.FAILED, 499);

    private final String code;
    private final Answer.Outcome outcome;
    private final int httpStatus;

    Reason(String code, Answer.Outcome outcome, int httpStatus) {
        this.code = code;
        this.outcome = outcome;
        this.httpStatus = httpStatus;
    }

    /** Returns the code used in responses and metrics. */
    public String code() {
        return code;
    }

    /** Returns the outcome that the reason belongs to. */
    public Answer.Outcome outcome() {
        return outcome;
    }

    /** Returns the HTTP status of the response. */
    public int httpStatus() {
        return httpStatus;
    }
}
