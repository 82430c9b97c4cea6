package org.wingstall.core.engine;

import org.wingstall.schema.endpoint.EngineState;
import org.wingstall.schema.endpoint.EngineTarget;

/**
 * What the holder of the lease last heard of one engine.
 *
 * <p>{@code EngineView view = EngineView.unknown("llm-0", 1).heard(state, nowMs);}
 *
 * @param memberId the engine
 * @param incarnation its incarnation
 * @param state what it said last; null when it has not answered this holder
 * @param heardAtMs when it said so, in ms of the monotonic clock
 * @param orderedAtMs when an order was last sent there, in ms of the monotonic clock
 * @since 0.1
 */
public record EngineView(String memberId, long incarnation, EngineState state, long answeredAtMs, long orderedAtMs) {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Returns the view of an engine that has not answered yet. */
    public static EngineView unknown(String memberId, long incarnation) {
        return new EngineView(memberId, incarnation, null, NEVER, NEVER);
    }

    /**
     * Returns this view after an answer of the engine; one to a question from before the last order says nothing new.
     *
     * @param newState what the engine says
     * @param sentAtMs when it was asked or ordered, in ms of the monotonic clock
     * @param nowMs time of the monotonic clock, in ms
     * @return the view
     */
    public EngineView withState(EngineState newState, long sentAtMs, long nowMs) {
        if (sentAtMs < orderedAtMs) {
            return this;
        }
        return new EngineView(memberId, incarnation, newState, nowMs, orderedAtMs);
    }

    /** Returns this view after an order was sent. */
    public EngineView withOrderSent(long nowMs) {
        return new EngineView(memberId, incarnation, state, answeredAtMs, nowMs);
    }

    /** Returns whether the engine has what is wanted. */
    public boolean hasReached(EngineTarget target) {
        return state != null && !state.isLoading() && target.equals(state.getLoaded());
    }

    /** Returns whether the engine may be busy with an order: it says so, or one was sent after it last spoke. */
    public boolean mayBeLoading() {
        return state != null && state.isLoading() || orderedAtMs > answeredAtMs;
    }
}
