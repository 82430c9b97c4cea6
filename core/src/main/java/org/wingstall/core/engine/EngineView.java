package org.wingstall.core.engine;

import org.wingstall.schema.endpoint.EngineState;
import org.wingstall.schema.endpoint.EngineTarget;

/**
 * Holds the last state that an engine reported to the holder of the lease.
 *
 * <p>{@code EngineView view = EngineView.unknown("llm-0", 1).withState(state, sentAtMs, nowMs);}
 *
 * @param memberId identifier of the engine in the membership list
 * @param incarnation incarnation of the engine
 * @param state last reported state; null if the engine has not responded to this holder
 * @param respondedAtMs when that state was received, in ms of the monotonic clock
 * @param orderedAtMs when an order was last sent to the engine, in ms of the monotonic clock
 * @since 0.1
 */
public record EngineView(String memberId, long incarnation, EngineState state, long respondedAtMs, long orderedAtMs) {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Returns the view of an engine that has not responded yet. */
    public static EngineView unknown(String memberId, long incarnation) {
        return new EngineView(memberId, incarnation, null, NEVER, NEVER);
    }

    /**
     * Returns this view updated with a response from the engine. The response is ignored if its request was sent before
     * the last order, since it does not reflect that order.
     *
     * @param newState reported state
     * @param sentAtMs when the query or order that the engine responds to was sent, in ms of the monotonic clock
     * @param nowMs current time of the monotonic clock, in ms
     * @return the updated view
     */
    public EngineView withState(EngineState newState, long sentAtMs, long nowMs) {
        if (sentAtMs < orderedAtMs) {
            return this;
        }
        return new EngineView(memberId, incarnation, newState, nowMs, orderedAtMs);
    }

    /** Returns this view with an order recorded as sent now. */
    public EngineView withOrderSent(long nowMs) {
        return new EngineView(memberId, incarnation, state, respondedAtMs, nowMs);
    }

    /** Returns whether the engine has loaded the target and is not loading. */
    public boolean hasReached(EngineTarget target) {
        return state != null && !state.isLoading() && target.equals(state.getLoaded());
    }

    /** Returns whether the engine may be loading: it reported so, or an order was sent after its last response. */
    public boolean mayBeLoading() {
        return state != null && state.isLoading() || orderedAtMs > respondedAtMs;
    }
}
