package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;

/** The request that a stage belongs to, as far as the stage knows it; told on its event loop. */
interface StageListener {
    /** Why a stage gave no output. */
    enum StageEnd {
        NO_ENDPOINT,
        DEADLINE_UNREACHABLE,
        STAGE_FAILED,
        EXHAUSTED,
        QUARANTINED,
        ON_TRIAL,
        UNANSWERED
    }

    /** The stage may run from here on; told for each call. */
    void handedOver();

    /** The endpoint of one of the calls stated that it did not run the stage after all. */
    void provedUnrun();

    /** The next token of the stage's output came. */
    void token(int tokenIndex, String token);

    /** The output is whole. */
    void output(JsonNode output);

    /**
     * There will be no output.
     *
     * @param end why
     * @param detail text for the caller
     * @param retryAfterMs time until the cause ends, in ms; 0 if that is not known
     */
    void noOutput(StageEnd end, String detail, long retryAfterMs);
}
