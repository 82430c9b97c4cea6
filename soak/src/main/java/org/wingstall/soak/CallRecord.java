package org.wingstall.soak;

import java.util.Set;

/**
 * A request and what came back.
 *
 * @param id its identifier
 * @param route route it went by
 * @param box box it was sent to
 * @param life how often the box had been started when it was sent
 * @param sentMs when it was sent, in ms of the soak's clock
 * @param endedMs when the answer was whole or the connection broke, in ms of the soak's clock
 * @param status status of a whole answer; 0 when there was none
 * @param answerId identifier that the answer carries; may be null
 * @param seal signature of the endpoint; may be null
 * @param body body of a whole answer
 * @since 0.3
 */
record CallRecord(
        String id,
        Route route,
        String box,
        int life,
        long sentMs,
        long endedMs,
        int status,
        String answerId,
        String seal,
        String body) {
    /** Statuses that promise that a request has not run and never will. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    /** The routes of the fleet that callers use. */
    enum Route {
        ONCE("once", false),
        STREAM("stream", false),
        REPEATABLE("repeatable", true),
        RESUMABLE("resumable", true),
        STAGED("staged", true),
        VERSIONED("versioned", true),
        WARMING("warming-plain", true);

        private final String path;
        private final boolean repeatable;

        Route(String path, boolean repeatable) {
            this.path = path;
            this.repeatable = repeatable;
        }

        String path() {
            return path;
        }

        boolean repeatable() {
            return repeatable;
        }

        boolean streamed() {
            return this == STREAM || this == RESUMABLE || this == STAGED;
        }
    }

    boolean success() {
        return status == 200;
    }

    boolean refusedAsNotRun() {
        return NOT_RUN.contains(status);
    }

    /** Returns whether the connection ended without a whole answer. */
    boolean broken() {
        return status == 0;
    }
}
