package org.wingstall.relay.engine;

import java.net.InetSocketAddress;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * Holds the engine selected for one attempt of a request and reports the outcome to the box that selected it. Confined
 * to the request loop.
 *
 * <p>{@code assignment.endpoint(); ... assignment.answered();}
 *
 * @since 0.4
 */
public final class EngineAssignment {
    private final EngineLoadBalancer.Choice choice;
    private final String coordinator;
    private final int ownTokens;
    private final MonotonicClock clock;
    private final long startedAtMs;
    private final OutcomeListener listener;
    private boolean ended;

    /** Receives the outcome of the attempt, once. */
    interface OutcomeListener {
        /**
         * Called when the first event of the response arrived after {@code firstAnswerMs}; negative when the engine
         * could not be reached.
         */
        void ended(EngineAssignment ticket, long firstAnswerMs);
    }

    EngineAssignment(
            EngineLoadBalancer.Choice choice,
            String coordinator,
            int ownTokens,
            MonotonicClock clock,
            OutcomeListener listener) {
        this.choice = choice;
        this.coordinator = coordinator;
        this.ownTokens = ownTokens;
        this.clock = clock;
        this.startedAtMs = clock.nowMs();
        this.listener = listener;
    }

    /** Returns the selected engine. */
    public RelayEndpoint endpoint() {
        return choice.endpoint();
    }

    /** Returns the box that selected the engine; null for this one. */
    public String coordinator() {
        return coordinator;
    }

    /** Returns the prediction for the engine. */
    public EngineEstimate estimate() {
        return choice.estimate();
    }

    /** Returns the address of an engine that has cached parts of the prompt which the selected one lacks, or null. */
    public InetSocketAddress fetchFrom() {
        return choice.fetchFrom();
    }

    /** Returns the number of tokens in the request's own part of the prompt. */
    int ownTokens() {
        return ownTokens;
    }

    /** Returns whether the outcome is known. */
    public boolean ended() {
        return ended;
    }

    /** Records that the first event of the response arrived. */
    public void answered() {
        end(clock.nowMs() - startedAtMs);
    }

    /** Records that the engine could not be reached. */
    public void unreachable() {
        end(-1);
    }

    private void end(long firstAnswerMs) {
        if (!ended) {
            ended = true;
            listener.ended(this, firstAnswerMs);
        }
    }
}
