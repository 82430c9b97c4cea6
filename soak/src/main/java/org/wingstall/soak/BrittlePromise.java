package org.wingstall.soak;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.wingstall.soak.Observations.SeenArrival;

/** Checks that boxes in touch seldom bring brittle endpoints down by requests for which there is no room. */
final class BrittlePromise implements Promise {
    private static final long WINDOW_MS = 1000;

    /** Falls that are allowed in one span: some, and a fraction of the endpoints; the platform's own figures. */
    private static final int ALLOWED_FALLS = 2;

    private static final double ALLOWED_FALL_SHARE = 0.1;

    @Override
    public String name() {
        return "brittle endpoints seldom fall";
    }

    @Override
    public List<String> broken(Observations seen) {
        Map<String, CallRecord> calls = seen.callsById();
        return seen.brittleSpans().stream()
                .filter(span -> span.endpoints().stream()
                                .mapToInt(endpoint -> falls(seen, calls, span, endpoint))
                                .sum()
                        > ALLOWED_FALLS + ALLOWED_FALL_SHARE * span.endpoints().size())
                .map(BrittleSpan::toString)
                .toList();
    }

    private static int falls(Observations seen, Map<String, CallRecord> calls, BrittleSpan span, String endpoint) {
        List<SeenArrival> rejected = seen.arrivals().stream()
                .filter(arrival -> arrival.what().endpoint().equals(endpoint)
                        && !arrival.what().ran()
                        && arrival.atMs() >= span.fromMs()
                        && arrival.atMs() <= span.untilMs()
                        && seen.calm(endpoint, arrival.atMs(), arrival.atMs(), true))
                .sorted(Comparator.comparingLong(SeenArrival::atMs))
                .toList();
        Deque<SeenArrival> window = new ArrayDeque<>();
        int falls = 0;
        for (SeenArrival arrival : rejected) {
            window.addLast(arrival);
            while (arrival.atMs() - window.peekFirst().atMs() > WINDOW_MS) {
                window.removeFirst();
            }
            if (window.size() > span.maxRejectionsPerSecond()) {
                falls += mostlyByBoxesInTouch(seen, calls, window) ? 1 : 0;
                window.clear();
            }
        }
        return falls;
    }

    private static boolean mostlyByBoxesInTouch(
            Observations seen, Map<String, CallRecord> calls, Deque<SeenArrival> rejected) {
        long inTouch = rejected.stream()
                .filter(arrival -> calls.containsKey(arrival.what().id()))
                .filter(arrival -> seen.inTouch(calls.get(arrival.what().id()).box(), arrival.atMs(), arrival.atMs()))
                .count();
        return 2 * inTouch > rejected.size();
    }
}
