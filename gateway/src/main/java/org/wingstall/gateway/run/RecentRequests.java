package org.wingstall.gateway.run;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.wingstall.schema.caller.Answer;

/**
 * The answers of the last requests without their outputs, for operators.
 *
 * <p>{@code recent.find("kgn-a-1.18c2.7");}
 *
 * @since 0.1
 */
public final class RecentRequests {
    private static final int KEPT = 1024;

    private final LinkedHashMap<String, Answer> answers = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Answer> eldest) {
            return size() > KEPT;
        }
    };

    /** Remembers an answer. */
    public synchronized void remember(Answer answer) {
        Answer withoutOutput = new Answer(
                answer.getRequestId(),
                answer.getOutcome(),
                answer.getReason(),
                answer.getDetail(),
                answer.getStage(),
                answer.getRetryAfterMs(),
                null,
                answer.getStages());
        answers.put(answer.getRequestId(), withoutOutput);
    }

    /** Returns the answer of a request that ended lately. */
    public synchronized Optional<Answer> find(String requestId) {
        return Optional.ofNullable(answers.get(requestId));
    }
}
