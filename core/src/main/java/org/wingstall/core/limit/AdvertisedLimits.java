package org.wingstall.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.peer.LimitNews;

/**
 * The requests a second that endpoints take from all boxes together, as known to one box: from the answers that it got, and
 * from what other boxes tell of theirs. Not safe for use on several threads.
 *
 * <p>Each statement about an endpoint has a revision. The highest one holds at every box; of two with the same revision the one
 * with the lower rate holds. So what boxes tell each other comes to rest in whatever order it arrives.
 *
 * <p>{@code limits.stated("i-1@1", 1.0, sentMs); limits.requestsPerSecond("i-1@1")}
 *
 * @since 0.9
 */
public final class AdvertisedLimits {
    /** Rate of an endpoint whose first statement can't be read: it is in need, and nobody knows how much. */
    private static final double UNREADABLE_RATE = 1;

    /** Rate in {@link LimitNews} that stands for no limit. */
    private static final double CLEARED = -1;

    /** Time without a lower rate after which a higher one holds, and without any after which none does, in ms. */
    private static final long RAISE_DELAY_MS = 1000;

    /** Pause after which a rate that holds on is told again, in ms. */
    private static final long REBROADCAST_INTERVAL_MS = 10_000;

    /** Time after which a rate that nobody stated again is taken for cleared, in ms. */
    private static final long STALE_AFTER_MS = 30_000;

    /** Time in which the rate doubles once an endpoint states none any more, in ms. */
    private static final double RAMP_DOUBLING_MS = 1000;

    /** Time after which nothing is bounded once an endpoint states no rate any more, in ms. */
    private static final long RAMP_MS = 6000;

    /** Least rate from which an endpoint's requests grow again. */
    private static final double MIN_RAMP_RATE = 1;

    /** Time for which what is known of an endpoint that no list has is kept, in ms. */
    private static final long UNLISTED_RETENTION_MS = 60_000;

    private final String boxId;
    private final MonotonicClock clock;
    private final Listener listener;
    private final Map<String, Entry> entries = new HashMap<>();

    /** Takes what changes. */
    public interface Listener {
        /**
         * Tells the other boxes.
         *
         * @param news what they have to know
         * @param exceptBox box that it was heard from; null for none
         */
        void broadcast(LimitNews news, String exceptBox);

        /** An endpoint's limit is another one from now on. */
        void changed(Limit limit);
    }

    /**
     * The limit of one endpoint.
     *
     * @param endpoint its identifier and incarnation
     * @param requestsPerSecond the rate; infinite when its answers state none any more
     * @param sinceMs time since it has held, in ms
     * @param box box that got the answer
     */
    public record Limit(String endpoint, double requestsPerSecond, long ageMs, String box) {}

    private static final class Entry {
        private LimitNews news;
        private double rampStartRate;
        private long changedMs;
        private long advertisedMs;
        private long notHigherMs;
        private long broadcastMs;

        private boolean isLimited() {
            return news.getRequestsPerSecond() >= 0;
        }
    }

    /**
     * Creates an empty set.
     *
     * @param boxId this box
     * @param clock monotonic clock
     * @param listener takes what changes
     */
    public AdvertisedLimits(String boxId, MonotonicClock clock, Listener listener) {
        this.boxId = boxId;
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns whether nothing is known of any endpoint. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the limits that hold. */
    public List<Limit> activeLimits() {
        List<Limit> limits = new ArrayList<>();
        entries.forEach((endpoint, entry) -> {
            if (entry.isLimited()) {
                limits.add(limit(endpoint, entry));
            }
        });
        return limits;
    }

    /** Returns whether an endpoint states a limit. */
    public boolean isLimited(String endpoint) {
        Entry entry = entries.get(endpoint);
        return entry != null && entry.isLimited() && !isStale(entry);
    }

    /** Returns the requests a second that all boxes may send to an endpoint now; empty when they are not bounded. */
    public OptionalDouble requestsPerSecond(String endpoint) {
        Entry entry = entries.get(endpoint);
        if (entry == null) {
            return OptionalDouble.empty();
        }
        if (entry.isLimited() && !isStale(entry)) {
            return OptionalDouble.of(entry.news.getRequestsPerSecond());
        }
        long sinceMs = clock.nowMs() - (entry.isLimited() ? entry.advertisedMs + STALE_AFTER_MS : entry.changedMs);
        double from =
                Math.max(MIN_RAMP_RATE, entry.isLimited() ? entry.news.getRequestsPerSecond() : entry.rampStartRate);
        return sinceMs < RAMP_MS
                ? OptionalDouble.of(from * Math.pow(2, sinceMs / RAMP_DOUBLING_MS))
                : OptionalDouble.empty();
    }

    /**
     * Records an answer that states a rate.
     *
     * @param endpoint identifier and incarnation of the endpoint
     * @param requestsPerSecond the rate
     */
    public void advertised(String endpoint, double requestsPerSecond) {
        long nowMs = clock.nowMs();
        Entry entry = entries.get(endpoint);
        boolean raised = entry != null
                && entry.isLimited()
                && requestsPerSecond > entry.news.getRequestsPerSecond()
                && nowMs - entry.notHigherMs < RAISE_DELAY_MS;
        boolean another = entry == null || entry.news.getRequestsPerSecond() != requestsPerSecond;
        if (another && !raised) {
            publish(endpoint, requestsPerSecond);
        }
        Entry known = entries.get(endpoint);
        known.advertisedMs = nowMs;
        if (requestsPerSecond <= known.news.getRequestsPerSecond()) {
            known.notHigherMs = nowMs;
        }
        rebroadcast(endpoint, known);
    }

    /** Records an answer that states a rate which can't be read: the rate that is known holds on. */
    public void advertisedUnreadable(String endpoint) {
        Entry entry = entries.get(endpoint);
        advertised(endpoint, entry != null && entry.isLimited() ? entry.news.getRequestsPerSecond() : UNREADABLE_RATE);
    }

    /**
     * Records an answer that states no rate.
     *
     * @param endpoint identifier and incarnation of the endpoint
     * @param sentMs when its request was sent, in ms of the clock
     */
    public void notAdvertised(String endpoint, long sentMs) {
        Entry entry = entries.get(endpoint);
        boolean over = entry != null
                && entry.isLimited()
                && sentMs > entry.advertisedMs
                && clock.nowMs() - entry.advertisedMs >= RAISE_DELAY_MS;
        if (over) {
            publish(endpoint, CLEARED);
        }
    }

    /** A rate that holds on is told again, so that boxes which get no answers don't take it for stale. */
    private void rebroadcast(String endpoint, Entry entry) {
        if (clock.nowMs() - entry.broadcastMs >= REBROADCAST_INTERVAL_MS) {
            publish(endpoint, entry.news.getRequestsPerSecond());
        }
    }

    private void publish(String endpoint, double requestsPerSecond) {
        Entry known = entries.get(endpoint);
        int revision = known == null ? 1 : known.news.getRevision() + 1;
        LimitNews news = new LimitNews(endpoint, revision, requestsPerSecond, boxId);
        apply(news);
        entries.get(endpoint).broadcastMs = clock.nowMs();
        listener.broadcast(news, null);
    }

    private void apply(LimitNews news) {
        String endpoint = news.getEndpoint();
        long nowMs = clock.nowMs();
        Entry entry = entries.computeIfAbsent(endpoint, name -> new Entry());
        boolean first = entry.news == null;
        boolean another = first || entry.news.getRequestsPerSecond() != news.getRequestsPerSecond();
        if (another && !first && entry.isLimited()) {
            entry.rampStartRate = entry.news.getRequestsPerSecond();
        }
        entry.news = news;
        entry.advertisedMs = nowMs;
        entry.notHigherMs = nowMs;
        entry.broadcastMs = nowMs;
        if (first && !entry.isLimited()) {
            // The endpoint was released before this box knew of its limit.
            entry.changedMs = nowMs - RAMP_MS;
        } else if (another) {
            entry.changedMs = nowMs;
            listener.changed(limit(endpoint, entry));
        }
    }

    private Limit limit(String endpoint, Entry entry) {
        double rate = entry.isLimited() ? entry.news.getRequestsPerSecond() : Double.POSITIVE_INFINITY;
        return new Limit(endpoint, rate, clock.nowMs() - entry.changedMs, entry.news.getBox());
    }

    private boolean isStale(Entry entry) {
        return clock.nowMs() - entry.advertisedMs >= STALE_AFTER_MS;
    }

    /** Takes what another box tells. */
    public void receive(String box, LimitNews news) {
        Entry known = entries.get(news.getEndpoint());
        if (known == null || supersedes(news, known.news)) {
            apply(news);
            listener.broadcast(news, box);
        }
    }

    private static boolean supersedes(LimitNews news, LimitNews known) {
        if (news.getRevision() != known.getRevision()) {
            return news.getRevision() > known.getRevision();
        }
        return rank(news) < rank(known);
    }

    /** A lower rate goes before a higher one, and any rate before none. */
    private static double rank(LimitNews news) {
        double rate = news.getRequestsPerSecond();
        return rate < 0 ? Double.POSITIVE_INFINITY : rate;
    }

    /** Returns all that a box which has just been linked needs. */
    public List<LimitNews> snapshot() {
        return entries.values().stream().map(entry -> entry.news).toList();
    }

    /** Drops what is known of endpoints that are gone. */
    public void retain(Set<String> listed) {
        long nowMs = clock.nowMs();
        entries.entrySet()
                .removeIf(entry -> !listed.contains(entry.getKey())
                        && nowMs - entry.getValue().changedMs >= UNLISTED_RETENTION_MS);
    }
}
