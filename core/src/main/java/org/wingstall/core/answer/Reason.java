package org.wingstall.core.answer;

import org.wingstall.schema.caller.Answer;

/**
 * Every reason for which a request ends in another outcome than {@code complete}.
 *
 * <p>{@code Reason.WORKSPACE_LIMIT.code()} is {@code "workspace-limit"}; each reason has a counter of its own.
 *
 * @since 0.1
 */
public enum Reason {
    /** The body is no JSON or breaks the schema of a request. */
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
    /** No workspace holds the key. */
    UNKNOWN_KEY("unknown-key", Answer.Outcome.NOT_RUN, 401),
    /** No workspace has the name. */
    UNKNOWN_WORKSPACE("unknown-workspace", Answer.Outcome.NOT_RUN, 403),
    /** Route and workspace are bound to regions, and none is common to both. */
    NO_COMMON_REGION("no-common-region", Answer.Outcome.NOT_RUN, 403),
    /** A pipeline with a stage that is not repeatable needs an idempotency key. */
    MISSING_KEY("missing-key", Answer.Outcome.NOT_RUN, 400),
    /** The deadline is longer than the pipeline's. */
    BAD_DEADLINE("bad-deadline", Answer.Outcome.NOT_RUN, 400),
    /** The idempotency key was used for another body. */
    KEY_REUSED("key-reused", Answer.Outcome.NOT_RUN, 422),
    /** The workspace has used its share of its limit. */
    WORKSPACE_LIMIT("workspace-limit", Answer.Outcome.NOT_RUN, 429),
    /** The answer could not land within the deadline. */
    DEADLINE_UNREACHABLE("deadline-unreachable", Answer.Outcome.NOT_RUN, 503),
    /** The deadline passed before anything ran. */
    DEADLINE_PASSED_WAITING("deadline-passed-waiting", Answer.Outcome.NOT_RUN, 503),
    /** No endpoint of the first service can take the request. */
    NO_ENDPOINT("no-endpoint", Answer.Outcome.NOT_RUN, 503),
    /** The endpoints turned the request away before running it. */
    ENDPOINTS_BUSY("endpoints-busy", Answer.Outcome.NOT_RUN, 503),
    /** A stage before the request made no result, so the request itself was never sent. */
    STAGE_WITHOUT_RESULT("stage-without-result", Answer.Outcome.NOT_RUN, 503),
    /** Endpoints ended while they ran this request, so it is sent to no other. */
    QUARANTINED("quarantined", Answer.Outcome.NOT_RUN, 503),
    /** Endpoints ended while they ran this request, and another box tries it now. */
    SUSPECT_ON_TRIAL("suspect-on-trial", Answer.Outcome.NOT_RUN, 503),
    /** The platform's table could not decide the claim in time. */
    TABLE_UNAVAILABLE("table-unavailable", Answer.Outcome.NOT_RUN, 503),
    /** The gateway has no configuration or no membership list yet. */
    NOT_READY("not-ready", Answer.Outcome.NOT_RUN, 503),
    /** The gateway is in a planned stop. */
    STOPPING("stopping", Answer.Outcome.NOT_RUN, 503),
    /** The caller went away before anything ran. */
    CALLER_GONE_WAITING("caller-gone-waiting", Answer.Outcome.NOT_RUN, 499),
    /** Another attempt holds the key and is within its deadline. */
    CLAIM_HELD("claim-held", Answer.Outcome.IN_PROGRESS, 409),
    /** Another attempt held the key past its deadline and recorded nothing. */
    CLAIM_UNFINISHED("claim-unfinished", Answer.Outcome.UNKNOWN, 504),
    /** The request has run, but its recorded answer can't be read now. */
    ANSWER_UNREADABLE("answer-unreadable", Answer.Outcome.UNKNOWN, 503),
    /** A stage that is not repeatable was called and gave no answer. */
    STAGE_UNANSWERED("stage-unanswered", Answer.Outcome.UNKNOWN, 504),
    /** The endpoint that the request was sent to gave no whole answer. */
    ENDPOINT_LOST("endpoint-lost", Answer.Outcome.UNKNOWN, 502),
    /** An endpoint answered that the stage failed. */
    STAGE_FAILED("stage-failed", Answer.Outcome.FAILED, 502),
    /** No attempt at a repeatable stage gave an answer. */
    RETRIES_EXHAUSTED("retries-exhausted", Answer.Outcome.FAILED, 502),
    /** No endpoint could take a later stage. */
    NO_ENDPOINT_LATER("no-endpoint-later", Answer.Outcome.FAILED, 503),
    /** The deadline passed after a stage had run. */
    DEADLINE_PASSED_RUNNING("deadline-passed-running", Answer.Outcome.FAILED, 504),
    /** After some stages the answer could no longer land within the deadline. */
    DEADLINE_UNREACHABLE_LATER("deadline-unreachable-later", Answer.Outcome.FAILED, 504),
    /** The caller went away after a stage had run. */
    CALLER_GONE_RUNNING("caller-gone-running", Answer.Outcome.FAILED, 499);

    private final String code;
    private final Answer.Outcome outcome;
    private final int httpStatus;

    Reason(String code, Answer.Outcome outcome, int httpStatus) {
        this.code = code;
        this.outcome = outcome;
        this.httpStatus = httpStatus;
    }

    /** Returns the code that callers and counters see. */
    public String code() {
        return code;
    }

    /** Returns the outcome that the reason belongs to. */
    public Answer.Outcome outcome() {
        return outcome;
    }

    /** Returns the HTTP status of the answer. */
    public int httpStatus() {
        return httpStatus;
    }
}
