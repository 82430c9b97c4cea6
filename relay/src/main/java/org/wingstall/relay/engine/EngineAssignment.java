package org.wingstall.relay.engine;

import java.net.InetSocketAddress;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * The engine chosen for one sending of a request, and the way to tell the box that chose what became of it. Confined to the
 * request loop.
 *
 * <p>{@code ticket.endpoint(); ... ticket.answered();}
 *
 * @since 0.4
 */
public final class EngineAssignment {
    private final EngineLoadBalancer.Choice choice;
    private final String chooser;
    private final int ownTokens;
    private final MonotonicClock clock;
    private final long sinceMs;
    private final OutcomeListener listener;
    private boolean ended;

    /** Told once what became of the request. */
    interface OutcomeListener {
        /** The first sign of an answer came after so many ms; below 0 when the engine could not be reached. */
        void ended(EngineAssignment ticket, long firstAnswerMs);
    }

    EngineAssignment(
            EngineLoadBalancer.Choice choice,
            String chooser,
            int ownTokens,
            MonotonicClock clock,
            OutcomeListener listener) {
        this.choice = choice;
        this.chooser = chooser;
        this.ownTokens = ownTokens;
        this.clock = clock;
        this.sinceMs = clock.nowMs();
        this.listener = listener;
    }

    /** Returns the engine. */
    public RelayEndpoint endpoint() {
        return choice.endpoint();
    }

    /** Returns the box that chose it; null for this one. */
    public String coordinator() {
        return chooser;
    }

    /** Returns what was expected of it. */
    public EngineEstimate estimate() {
        return choice.estimate();
    }

    /** Returns an engine that keeps parts of the prompt which the chosen one lacks, or null. */
    public InetSocketAddress fetchFrom() {
        return choice.fetchFrom();
    }

    /** Returns the tokens of the request's own part of the prompt. */
    int ownTokens() {
        return ownTokens;
    }

    /** Returns whether it is known what became of the request. */
    public boolean ended() {
        return ended;
    }

    /** Records the first sign of an answer. */
    public void answered() {
        end(clock.nowMs() - sinceMs);
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
