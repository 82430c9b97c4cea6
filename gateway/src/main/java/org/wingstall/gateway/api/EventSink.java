package org.wingstall.gateway.api;

import org.wingstall.core.answer.Reason;
import org.wingstall.gateway.run.RequestContext;
import org.wingstall.net.http.HttpCall;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.caller.TokenPart;
import org.wingstall.schema.check.Json;

/** Gives tokens as events as they come, and the answer as the last event. */
final class EventSink extends CallerSink {
    EventSink(HttpCall call, RequestContext context) {
        super(call, context);
    }

    @Override
    public void token(int index, String text) {
        call.beginEvents();
        call.event("token", Json.write(new TokenPart(index, text)));
    }

    @Override
    public void answer(Answer answer, Reason reason, boolean repeated) {
        log(answer);
        boolean refusedBeforeStream = !call.streaming() && reason != null;
        if (refusedBeforeStream) {
            respond(call, answer, reason, repeated);
            return;
        }
        call.beginEvents();
        call.event("answer", Json.write(answer));
        call.endEvents();
    }
}
