package org.wingstall.gateway.api;

import org.wingstall.core.answer.Reason;
import org.wingstall.gateway.run.RequestContext;
import org.wingstall.net.http.HttpCall;
import org.wingstall.schema.caller.Answer;

/** Gives the answer whole. */
final class JsonSink extends CallerSink {
    JsonSink(HttpCall call, RequestContext context) {
        super(call, context);
    }

    @Override
    public void token(int index, String text) {
        // Tokens go out with the whole answer.
    }

    @Override
    public void answer(Answer answer, Reason reason, boolean repeated) {
        log(answer);
        respond(call, answer, reason, repeated);
    }
}
