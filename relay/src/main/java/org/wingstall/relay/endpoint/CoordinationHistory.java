package org.wingstall.relay.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.wingstall.core.time.MonotonicClock;

/**
 * Remembers for which part of the fleet this box has chosen endpoints lately, by service. Confined to the request loop.
 *
 * <p>{@code coordination.sample(); ... double part = coordination.leastPart("wingstall-llm");}
 */
final class CoordinationHistory {
    /** Pause between two looks at the fleet, in ms; a box counts as silent after some 1,300. */
    static final long SAMPLE_MS = 250;

    /** Pause after which earlier looks don't count, in ms: the process stood still, and others chose meanwhile. */
    private static final long MAX_SAMPLE_GAP_MS = 1000;

    private final MonotonicClock clock;
    private final Fleet.Provider fleet;
    private final long windowMs;
    private final Map<String, Deque<Sample>> samples = new HashMap<>();

    private record Sample(long atMs, double part) {}

    CoordinationHistory(MonotonicClock clock, Fleet.Provider fleet, long windowMs) {
        this.clock = clock;
        this.fleet = fleet;
        this.windowMs = windowMs;
    }

    /** Looks at the fleet for each service that was asked for. */
    void sample() {
        samples.keySet().forEach(this::sample);
    }

    private Deque<Sample> sample(String service) {
        Deque<Sample> known = samples.computeIfAbsent(service, name -> new ArrayDeque<>());
        long nowMs = clock.nowMs();
        if (!known.isEmpty() && nowMs - known.peekLast().atMs() > MAX_SAMPLE_GAP_MS) {
            known.clear();
        }
        known.addLast(new Sample(nowMs, part(service)));
        dropOld(known, nowMs);
        return known;
    }

    private double part(String service) {
        return fleet.coordinates(service) ? reachableFraction(fleet.snapshot()) : 0;
    }

    static double reachableFraction(Fleet now) {
        return Math.min(1, now.heard().size() / (double) now.boxes().size());
    }

    /** The last look before the window tells what held at its begin. */
    private void dropOld(Deque<Sample> known, long nowMs) {
        while (known.size() > 1 && nowMs - secondOf(known).atMs() >= windowMs) {
            known.removeFirst();
        }
    }

    private static Sample secondOf(Deque<Sample> known) {
        return known.stream().skip(1).findFirst().orElseThrow();
    }

    /** Returns the least part of the fleet that this box chose for in the window until now; 0 when it is not known. */
    double minCoordinatedFraction(String service) {
        Deque<Sample> known = sample(service);
        boolean whole = clock.nowMs() - known.peekFirst().atMs() >= windowMs;
        return whole ? known.stream().mapToDouble(Sample::part).min().orElse(0) : 0;
    }
}
