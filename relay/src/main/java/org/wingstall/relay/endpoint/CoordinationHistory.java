package org.wingstall.relay.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.wingstall.core.time.MonotonicClock;

/**
 * Tracks for which fraction of the fleet this box has recently selected endpoints, by service. Confined to the request
 * loop.
 *
 * <p>{@code history.sample(); ... double fraction = history.minCoordinatedFraction("wingstall-llm");}
 */
final class CoordinationHistory {
    /** Interval between two samples, in ms; a box counts as silent after about 1,300 ms. */
    static final long SAMPLE_MS = 250;

    /**
     * Gap after which earlier samples are discarded, in ms: the process was suspended, and other boxes may have been
     * coordinator meanwhile.
     */
    private static final long MAX_SAMPLE_GAP_MS = 1000;

    private final MonotonicClock clock;
    private final Fleet.Provider fleet;
    private final long windowMs;
    private final Map<String, Deque<Sample>> samples = new HashMap<>();

    private record Sample(long atMs, double fraction) {}

    CoordinationHistory(MonotonicClock clock, Fleet.Provider fleet, long windowMs) {
        this.clock = clock;
        this.fleet = fleet;
        this.windowMs = windowMs;
    }

    /** Takes a sample for each service that was queried before. */
    void sample() {
        samples.keySet().forEach(this::sample);
    }

    private Deque<Sample> sample(String service) {
        Deque<Sample> recent = samples.computeIfAbsent(service, name -> new ArrayDeque<>());
        long nowMs = clock.nowMs();
        if (!recent.isEmpty() && nowMs - recent.peekLast().atMs() > MAX_SAMPLE_GAP_MS) {
            recent.clear();
        }
        recent.addLast(new Sample(nowMs, currentFraction(service)));
        removeExpired(recent, nowMs);
        return recent;
    }

    private double currentFraction(String service) {
        return fleet.coordinates(service) ? reachableFraction(fleet.snapshot()) : 0;
    }

    static double reachableFraction(Fleet now) {
        return Math.min(1, now.reachable().size() / (double) now.boxes().size());
    }

    /**
     * Removes samples that are too old, but keeps the last one before the window, which gives the state at its start.
     */
    private void removeExpired(Deque<Sample> recent, long nowMs) {
        while (recent.size() > 1 && nowMs - second(recent).atMs() >= windowMs) {
            recent.removeFirst();
        }
    }

    private static Sample second(Deque<Sample> recent) {
        return recent.stream().skip(1).findFirst().orElseThrow();
    }

    /**
     * Returns the smallest fraction of the fleet that this box selected for in the window up to now; 0 when the samples
     * don't cover the window.
     */
    double minCoordinatedFraction(String service) {
        Deque<Sample> recent = sample(service);
        boolean complete = clock.nowMs() - recent.peekFirst().atMs() >= windowMs;
        return complete ? recent.stream().mapToDouble(Sample::fraction).min().orElse(0) : 0;
    }
}
