package org.wingstall.standin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.wingstall.net.http.HttpCall;

/**
 * What endpoints told each sender in their answers, and the requests that the sender sent them since. Safe for use on any
 * thread.
 *
 * <p>{@code log.toldLeaving("engine-1", call); log.arrived("engine-1", next); log.sentAfterLeaving(arrival -> true)}
 *
 * @since 0.10
 */
public final class StatementLog {
    /** Time after an endpoint told a sender that it leaves from which the sender sends it nothing, in ms. */
    public static final long LEAVING_WITHIN_MS = 2000;

    /** Time after an endpoint asked for rest from which requests count, in ms. */
    public static final long REST_FROM_MS = 500;

    /** Requests that an endpoint may still get within its rest. */
    public static final int MOST_WITHIN_REST = 2;

    private static final double MS_PER_SECOND = 1000;

    private final Function<HttpCall, String> senders;
    private final Map<Pair, Long> leavingSinceMs = new ConcurrentHashMap<>();
    private final List<Rest> rests = new CopyOnWriteArrayList<>();
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    /** An endpoint and a sender of requests to it. */
    public record Pair(String endpoint, String sender) {}

    /** A request that came to an endpoint; when, in ms of the process's steady clock. */
    public record Arrival(Pair between, String what, long atMs) {}

    /** A time for which an endpoint wants nothing from a sender, and the requests that it got in it. */
    public record Rest(Pair between, long fromMs, long untilMs) {}

    /** Creates a log of endpoints that all get their requests from one sender. */
    public StatementLog() {
        this(call -> "");
    }

    /**
     * Creates a log.
     *
     * @param senders names the sender of a request
     */
    public StatementLog(Function<HttpCall, String> senders) {
        this.senders = senders;
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private Pair pair(String endpoint, HttpCall call) {
        return new Pair(endpoint, senders.apply(call));
    }

    void arrived(String endpoint, HttpCall call) {
        String id = WorkerStandin.requestId(call);
        arrived(new Arrival(pair(endpoint, call), id == null ? call.path() : id, nowMs()));
    }

    /** Records a request. */
    public void arrived(Arrival arrival) {
        arrivals.add(arrival);
    }

    void toldLeaving(String endpoint, HttpCall call) {
        toldLeaving(pair(endpoint, call), nowMs());
    }

    /** Records that an endpoint told a sender at some time, in ms of the process's steady clock, that it leaves. */
    public void toldLeaving(Pair between, long atMs) {
        leavingSinceMs.putIfAbsent(between, atMs);
    }

    /** Records a time for which an endpoint wants nothing from a sender. */
    public void toldRest(Rest rest) {
        rests.add(rest);
    }

    /** A text that is no number of seconds asks for nothing. */
    void toldRetryAfter(String endpoint, HttpCall call, String seconds) {
        try {
            long nowMs = nowMs();
            long untilMs = nowMs + Math.round(Double.parseDouble(seconds) * MS_PER_SECOND);
            toldRest(new Rest(pair(endpoint, call), nowMs + REST_FROM_MS, untilMs));
        } catch (NumberFormatException e) {
            // Recorded as no rest.
        }
    }

    /** Returns whether an endpoint has told some sender that it leaves. */
    public boolean hasToldLeaving(String endpoint) {
        return leavingSinceMs.keySet().stream().anyMatch(pair -> pair.endpoint().equals(endpoint));
    }

    /** Returns how often an endpoint has asked for rest. */
    public long restsAskedBy(String endpoint) {
        return rests.stream()
                .filter(rest -> rest.between().endpoint().equals(endpoint))
                .count();
    }

    /** Returns the requests that an endpoint got from some time on. */
    public List<Arrival> arrivals(String endpoint, long fromMs) {
        return arrivals.stream()
                .filter(arrival -> arrival.between().endpoint().equals(endpoint) && arrival.atMs() >= fromMs)
                .toList();
    }

    /**
     * Returns the requests that came too long after their endpoint had told their sender that it leaves.
     *
     * @param counts which requests count
     */
    public List<Arrival> sentAfterLeaving(Predicate<Arrival> counts) {
        return arrivals.stream()
                .filter(counts)
                .filter(arrival -> {
                    Long sinceMs = leavingSinceMs.get(arrival.between());
                    return sinceMs != null && arrival.atMs() > sinceMs + LEAVING_WITHIN_MS;
                })
                .toList();
    }

    /**
     * Returns the rests in which an endpoint got more requests than allowed.
     *
     * @param counts which rests count
     */
    public List<Rest> brokenRests(Predicate<Rest> counts) {
        List<Rest> broken = new ArrayList<>();
        for (Rest rest : rests) {
            long got = arrivals.stream()
                    .filter(arrival -> arrival.between().equals(rest.between()))
                    .filter(arrival -> arrival.atMs() > rest.fromMs() && arrival.atMs() < rest.untilMs())
                    .count();
            if (got > MOST_WITHIN_REST && counts.test(rest)) {
                broken.add(rest);
            }
        }
        return broken;
    }
}
