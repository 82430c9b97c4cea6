package org.wingstall.standin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The requests that endpoints with a limit got from all boxes, and whether they were more than allowed. Safe for use on any
 * thread.
 *
 * <p>{@code log.stated("engine-1", 1); log.arrived("engine-1", id); log.excesses(arrival -> true)}
 *
 * @since 0.9
 */
public final class LimitLog {
    /** Endpoints that state a limit in their answers. */
    public static final Rule STATED = new Rule(4000, 1.5, 5, 3000, 500);

    private static final double MS_PER_SECOND = 1000;
    private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

    private final Rule rule;
    private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();

    private static final class Endpoint {
        private final ConcurrentSkipListMap<Long, Double> rates =
                new ConcurrentSkipListMap<>(Map.of(Long.MIN_VALUE, NO_LIMIT));
        private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    }

    /**
     * How many requests are too many.
     *
     * @param windowMs length of the spans in which requests count, in ms
     * @param overrun factor on what the rate allows
     * @param tolerance requests in a span beyond that
     * @param contactMs time after an endpoint first stated a limit from which it has to be kept, in ms
     * @param newsMs time that news of another rate may take, in ms
     */
    public record Rule(long windowMs, double overrun, double tolerance, long contactMs, long newsMs) {
        double allowed(double requestsPerSecond) {
            return overrun * requestsPerSecond * windowMs / MS_PER_SECOND + tolerance;
        }
    }

    /**
     * A request that came to an endpoint.
     *
     * @param what its identifier, or its path when it has none
     * @param atMs when it came, in ms of the process's steady clock
     */
    public record Arrival(String what, long atMs) {}

    /**
     * More requests than allowed.
     *
     * @param endpoint the endpoint
     * @param atMs end of the span, in ms of the process's steady clock
     * @param got requests in the span
     * @param allowed requests that were allowed
     */
    public record Excess(String endpoint, long atMs, List<Arrival> got, double allowed) {}

    /** Creates an empty log whose endpoints state their limits in answers. */
    public LimitLog() {
        this(STATED);
    }

    /** Creates an empty log. */
    public LimitLog(Rule rule) {
        this.rule = rule;
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private Endpoint of(String endpoint) {
        return endpoints.computeIfAbsent(endpoint, name -> new Endpoint());
    }

    /** Records that the endpoint's answers state a rate from now on. */
    public void stated(String endpoint, double requestsPerSecond) {
        stated(endpoint, requestsPerSecond, nowMs());
    }

    /** Records that the endpoint's answers state a rate from some time on, in ms of the process's steady clock. */
    public void stated(String endpoint, double requestsPerSecond, long atMs) {
        of(endpoint).rates.put(atMs, requestsPerSecond);
    }

    /** Records that the endpoint's answers state no limit any more. */
    public void cleared(String endpoint) {
        of(endpoint).rates.put(nowMs(), NO_LIMIT);
    }

    /** Records a request of whatever kind. */
    public void arrived(String endpoint, String what) {
        arrived(endpoint, what, nowMs());
    }

    /** Records a request of some time, in ms of the process's steady clock. */
    public void arrived(String endpoint, String what, long atMs) {
        of(endpoint).arrivals.add(new Arrival(what, atMs));
    }

    /** Returns the requests that an endpoint got from some time on. */
    public List<Arrival> arrivals(String endpoint, long fromMs) {
        return of(endpoint).arrivals.stream()
                .filter(arrival -> arrival.atMs() >= fromMs)
                .toList();
    }

    /**
     * Returns the spans in which an endpoint got too many requests. Those that came before it stated a limit don't count.
     *
     * @param counts which requests count
     */
    public List<Excess> excesses(Predicate<Arrival> counts) {
        List<Excess> excesses = new ArrayList<>();
        endpoints.forEach((name, endpoint) -> {
            List<Arrival> counted = endpoint.arrivals.stream().filter(counts).toList();
            counted.forEach(last -> {
                long fromMs = Math.max(last.atMs() - rule.windowMs(), statedSinceMs(endpoint, last.atMs()) - 1);
                double allowed = rule.allowed(highestRate(endpoint, last.atMs()));
                List<Arrival> got = counted.stream()
                        .filter(arrival -> arrival.atMs() > fromMs && arrival.atMs() <= last.atMs())
                        .toList();
                if (got.size() > allowed) {
                    excesses.add(new Excess(name, last.atMs(), got, allowed));
                }
            });
        });
        return excesses;
    }

    /** Returns the highest rate that counts for the span that ends at a time; infinite when nothing is bounded yet. */
    private double highestRate(Endpoint endpoint, long untilMs) {
        TreeMap<Long, Double> rates = new TreeMap<>(endpoint.rates.headMap(untilMs, true));
        if (untilMs - statedSinceMs(rates) < rule.contactMs()) {
            return NO_LIMIT;
        }
        long fromMs = Math.max(statedSinceMs(rates), untilMs - rule.windowMs() - rule.newsMs());
        double highest = rates.floorEntry(fromMs).getValue();
        for (double rate : rates.tailMap(fromMs, true).values()) {
            highest = Math.max(highest, rate);
        }
        return highest;
    }

    private static long statedSinceMs(Endpoint endpoint, long untilMs) {
        return statedSinceMs(new TreeMap<>(endpoint.rates.headMap(untilMs, true)));
    }

    /** Returns since when the endpoint has stated some limit without a break. */
    private static long statedSinceMs(TreeMap<Long, Double> rates) {
        long sinceMs = Long.MAX_VALUE;
        for (Map.Entry<Long, Double> change : rates.descendingMap().entrySet()) {
            if (change.getValue() == NO_LIMIT) {
                return sinceMs;
            }
            sinceMs = change.getKey();
        }
        return sinceMs;
    }
}
