package org.wingstall.gateway.run;

import org.wingstall.core.answer.Reason;
import org.wingstall.schema.caller.Answer;

/**
 * Where a request's tokens and its answer go.
 *
 * <p>{@code sink.token(0, "Good "); sink.answer(answer, null, false);}
 *
 * @since 0.1
 */
public interface AnswerSink {
    /**
     * Takes a token of the last stage.
     *
     * @param index index of the token, without gaps from 0
     * @param text the token
     */
    void token(int index, String text);

    /**
     * Takes the answer; called once.
     *
     * @param answer the answer
     * @param reason why it is not complete; null when it is
     * @param repeated whether it is the recorded answer of an earlier attempt
     */
    void answer(Answer answer, Reason reason, boolean repeated);
}
