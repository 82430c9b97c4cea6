package org.wingstall.gateway.api;

import java.util.HashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.answer.Reason;
import org.wingstall.gateway.run.AnswerSink;
import org.wingstall.gateway.run.RequestContext;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.check.Json;

/** What the two forms of answers have in common. */
abstract class CallerSink implements AnswerSink {
    private static final Logger LOG = LogManager.getLogger(CallerSink.class);
    private static final int MS_PER_SECOND = 1000;
    private static final int OK = 200;

    final HttpCall call;
    private final RequestContext context;

    CallerSink(HttpCall call, RequestContext context) {
        this.call = call;
        this.context = context;
    }

    void log(Answer answer) {
        LogEvent.info("request-ended")
                .with("requestId", answer.getRequestId())
                .with("workspace", context.workspace().getName())
                .with("pipeline", context.pipeline().getName())
                .with("stage", answer.getStage())
                .with("outcome", answer.getOutcome().value())
                .with("reason", answer.getReason())
                .to(LOG);
    }

    static void respond(HttpCall call, Answer answer, Reason reason, boolean repeated) {
        Map<String, String> headers = new HashMap<>();
        if (answer.getRetryAfterMs() > 0) {
            long seconds = (answer.getRetryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND;
            headers.put("retry-after", Long.toString(seconds));
        }
        if (repeated) {
            headers.put("wingstall-repeated", "true");
        }
        call.respond(statusOf(answer, reason), HttpCall.JSON, Json.write(answer), headers);
    }

    private static int statusOf(Answer answer, Reason reason) {
        if (reason != null) {
            return reason.httpStatus();
        }
        if (answer.getOutcome() == Answer.Outcome.COMPLETE) {
            return OK;
        }
        for (Reason recorded : Reason.values()) {
            if (recorded.code().equals(answer.getReason())) {
                return recorded.httpStatus();
            }
        }
        return OK;
    }
}
