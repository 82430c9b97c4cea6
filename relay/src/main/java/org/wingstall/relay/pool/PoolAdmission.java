package org.wingstall.relay.pool;

import java.util.List;

/**
 * Says which groups of pieces are turned away instead of waiting for an endpoint.
 *
 * <p>{@code admission.turnedAway(groupsInOrder, forecast, load, nowMs)}
 *
 * @since 0.5
 */
public interface PoolAdmission {
    /**
     * Returns the groups that can't be done while they are wanted.
     *
     * @param inOrder groups that wait, the first to go first
     * @param forecast when the pool's slots are free, and how long calls take
     * @param load work that arrives for each unit that the pool can do; 1 when both are equal
     * @param nowMs monotonic clock, in ms
     * @return those to turn away, and when to come back
     */
    List<TurnedAway> turnedAway(List<PieceGroup> inOrder, PoolForecast forecast, double load, long nowMs);

    /**
     * A group that is turned away.
     *
     * @param group the group
     * @param againMs time until there is likely room, in ms
     */
    record TurnedAway(PieceGroup group, long againMs) {}

    /** Everything waits until its time is over; the baseline. */
    PoolAdmission TAKE_ALL = (inOrder, forecast, load, nowMs) -> List.of();

    /** Turns away at once what would not be done when its time is over. */
    PoolAdmission BY_FORECAST = new ForecastAdmission();
}
