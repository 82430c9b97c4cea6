package org.wingstall.soak;

import java.util.List;
import java.util.Set;
import org.wingstall.standin.fleet.PartialAnswer;

/**
 * One try of a caller that takes its streams up again.
 *
 * @param streamId identifier of the first try
 * @param box box it was sent to
 * @param sentMs when it was sent, in ms of the soak's clock
 * @param endedMs when it ended, in ms of the soak's clock
 * @param after last event that the caller had before; 0 for none
 * @param answer what came
 * @since 0.16
 */
record StreamTry(String streamId, String box, long sentMs, long endedMs, int after, PartialAnswer answer) {
    boolean resumes() {
        return after > 0;
    }

    /** Returns whether an event came, so that the stream began or went on. */
    boolean wentOn() {
        return !answer.events().isEmpty();
    }

    /** Returns whether the caller takes this for the end of its stream. */
    boolean looksComplete() {
        return answer.whole() && answer.status() == 200;
    }

    List<Integer> events() {
        return answer.events();
    }

    Set<String> writers() {
        return answer.writers();
    }
}
