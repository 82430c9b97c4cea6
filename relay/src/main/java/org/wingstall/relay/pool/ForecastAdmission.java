package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Turns away what would not be done when its time is over, as soon as that is known: on its arrival, or when something more
 * urgent took its place. The load that it answers is a burst beyond what a pool can do: without it every request waits until
 * its time is over, and so most that are served are late as well.
 */
final class ForecastAdmission implements PoolAdmission {
    /**
     * Least spare part of the pool that late groups are reckoned to get. Below a tenth their wait would be ten times as long
     * as what waits now, which is longer than any caller stays.
     */
    private static final double LEAST_SPARE = 0.1;

    @Override
    public List<TurnedAway> turnedAway(List<PieceGroup> inOrder, PoolForecast forecast, double load, long nowMs) {
        List<Long> ends =
                forecast.endsAtMs(inOrder.stream().map(PieceGroup::size).toList());
        double spare = Math.max(LEAST_SPARE, 1 - load);
        List<TurnedAway> away = new ArrayList<>();
        long againMs = ends.isEmpty() ? 0 : untilMs(ends.get(ends.size() - 1), nowMs, spare);
        for (int i = 0; i < ends.size(); i++) {
            PieceGroup group = inOrder.get(i);
            double part = group.lateAt(nowMs) ? spare : 1;
            long endsAtMs = nowMs + untilMs(ends.get(i), nowMs, part);
            if (endsAtMs > group.urgency().dueAtMs()) {
                away.add(new TurnedAway(group, againMs));
            }
        }
        return away;
    }

    /** Groups that are late already are overtaken by those that still come, so they get the spare part only. */
    private static long untilMs(long endsAtMs, long nowMs, double part) {
        if (endsAtMs == PoolForecast.NEVER) {
            return Integer.MAX_VALUE;
        }
        return Math.round((endsAtMs - nowMs) / part);
    }
}
