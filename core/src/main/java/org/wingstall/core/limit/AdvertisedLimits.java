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
 * Tracks the request rate that each endpoint accepts from all boxes together, from the responses that this box received
 * and from messages of other boxes. Not thread-safe.
 *
 * <p>Each message about an endpoint has a revision. On every box the highest revision applies, and of two messages with
 * the same revision the one with the lower rate. So all boxes converge to the same rate, in whatever order messages
 * arrive, and stop forwarding them.
 *
 * <p>{@code limits.advertised("i-1@1", 1.0); limits.requestsPerSecond("i-1@1")}
 *
 * @since 0.9
 */
public final class AdvertisedLimits {
    /**
     * Rate of an endpoint whose first advertised rate can't be parsed: it needs some limit, but its value is not known.
     */
    private static final double UNREADABLE_RATE = 1;

    /** Rate in {@link LimitNews} that means no limit. */
    private static final double CLEARED = -1;

    /**
     * Time without a lower advertised rate after which a higher one applies, and time without any advertised rate after
     * which the limit can be cleared, in ms.
     */
    private static final long RAISE_DELAY_MS = 1000;

    /** Time after which an unchanged rate is broadcast again, in ms. */
    private static final long REBROADCAST_INTERVAL_MS = 10_000;

    /** Time after which a rate that was not advertised again is treated as cleared, in ms. */
    private static final long STALE_AFTER_MS = 30_000;

    /** Time in which the allowed rate doubles after an endpoint stopped advertising one, in ms. */
    private static final double RAMP_DOUBLING_MS = 1000;

    /** Time after which the rate is unlimited again once an endpoint stopped advertising one, in ms. */
    private static final long RAMP_MS = 6000;

    /** Minimum rate from which the allowed rate doubles after a limit ends. */
    private static final double MIN_RAMP_RATE = 1;

    /** Time for which the entry of an endpoint that is no longer listed is retained, in ms. */
    private static final long UNLISTED_RETENTION_MS = 60_000;

    private final String boxId;
    private final MonotonicClock clock;
    private final Listener listener;
    private final Map<String, Entry> entries = new HashMap<>();

    /** Receives the messages and limit changes to pass on. */
    public interface Listener {
        /**
         * Sends a message to all linked boxes except one.
         *
         * @param news the message
         * @param exceptBox box that the message came from; null if it originates here
         */
        void broadcast(LimitNews news, String exceptBox);

        /** Called when an endpoint's limit has changed. */
        void changed(Limit limit);
    }

    /**
     * The limit of one endpoint.
     *
     * @param endpoint its identifier and incarnation
     * @param requestsPerSecond the rate; infinite when its responses no longer advertise one
     * @param ageMs time since this rate took effect, in ms
     * @param box box that received the response
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
     * @param listener receives messages and limit changes
     */
    public AdvertisedLimits(String boxId, MonotonicClock clock, Listener listener) {
        this.boxId = boxId;
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns whether there is no entry for any endpoint. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the limits that are in effect. */
    public List<Limit> activeLimits() {
        List<Limit> limits = new ArrayList<>();
        entries.forEach((endpoint, entry) -> {
            if (entry.isLimited()) {
                limits.add(limit(endpoint, entry));
            }
        });
        return limits;
    }

    /** Returns whether an endpoint advertises a limit that has not become stale. */
    public boolean isLimited(String endpoint) {
        Entry entry = entries.get(endpoint);
        return entry != null && entry.isLimited() && !isStale(entry);
    }

    /** Returns the requests per second that all boxes together may send to an endpoint now; empty if unlimited. */
    public OptionalDouble requestsPerSecond(String endpoint) {
        Entry entry = entries.get(endpoint);
        if (entry == null) {
            return OptionalDouble.empty();
        }
        if (entry.isLimited() && !isStale(entry)) {
            return OptionalDouble.of(entry.news.getRequestsPerSecond());
        }
        long sinceMs = clock.nowMs() - (entry.isLimited() ? entry.advertisedMs + STALE_AFTER_MS : entry.changedMs);
        double startRate =
                Math.max(MIN_RAMP_RATE, entry.isLimited() ? entry.news.getRequestsPerSecond() : entry.rampStartRate);
        return sinceMs < RAMP_MS
                ? OptionalDouble.of(startRate * Math.pow(2, sinceMs / RAMP_DOUBLING_MS))
                : OptionalDouble.empty();
    }

    /**
     * Records a response that advertises a rate.
     *
     * @param endpoint identifier and incarnation of the endpoint
     * @param requestsPerSecond the rate
     */
    public void advertised(String endpoint, double requestsPerSecond) {
        long nowMs = clock.nowMs();
        Entry entry = entries.get(endpoint);
        boolean raisedTooSoon = entry != null
                && entry.isLimited()
                && requestsPerSecond > entry.news.getRequestsPerSecond()
                && nowMs - entry.notHigherMs < RAISE_DELAY_MS;
        boolean different = entry == null || entry.news.getRequestsPerSecond() != requestsPerSecond;
        if (different && !raisedTooSoon) {
            publish(endpoint, requestsPerSecond);
        }
        Entry known = entries.get(endpoint);
        known.advertisedMs = nowMs;
        if (requestsPerSecond <= known.news.getRequestsPerSecond()) {
            known.notHigherMs = nowMs;
        }
        rebroadcast(endpoint, known);
    }

    /** Records a response that advertises a rate which can't be parsed: the known rate stays in effect. */
    public void advertisedUnreadable(String endpoint) {
        Entry entry = entries.get(endpoint);
        advertised(endpoint, entry != null && entry.isLimited() ? entry.news.getRequestsPerSecond() : UNREADABLE_RATE);
    }

    /**
     * Records a response that advertises no rate.
     *
     * @param endpoint identifier and incarnation of the endpoint
     * @param sentMs when its request was sent, in ms of the clock
     */
    public void notAdvertised(String endpoint, long sentMs) {
        Entry entry = entries.get(endpoint);
        boolean cleared = entry != null
                && entry.isLimited()
                && sentMs > entry.advertisedMs
                && clock.nowMs() - entry.advertisedMs >= RAISE_DELAY_MS;
        if (cleared) {
            publish(endpoint, CLEARED);
        }
    }

    /**
     * Broadcasts an unchanged rate again, so that boxes without responses from the endpoint don't treat it as stale.
     */
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
        boolean different = first || entry.news.getRequestsPerSecond() != news.getRequestsPerSecond();
        if (different && !first && entry.isLimited()) {
            entry.rampStartRate = entry.news.getRequestsPerSecond();
        }
        entry.news = news;
        entry.advertisedMs = nowMs;
        entry.notHigherMs = nowMs;
        entry.broadcastMs = nowMs;
        if (first && !entry.isLimited()) {
            // The endpoint's limit ended before this box learned of it, so the ramp is skipped.
            entry.changedMs = nowMs - RAMP_MS;
        } else if (different) {
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

    /** Applies a message from another box, and forwards it if it supersedes the known one. */
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

    /** Returns the sort key for equal revisions: a lower rate wins over a higher one, and any rate over none. */
    private static double rank(LimitNews news) {
        double rate = news.getRequestsPerSecond();
        return rate < 0 ? Double.POSITIVE_INFINITY : rate;
    }

    /** Returns the latest message about each endpoint, for a newly linked box. */
    public List<LimitNews> snapshot() {
        return entries.values().stream().map(entry -> entry.news).toList();
    }

    /** Removes the entries of endpoints that have not been listed for a while. */
    public void retain(Set<String> listed) {
        long nowMs = clock.nowMs();
        entries.entrySet()
                .removeIf(entry -> !listed.contains(entry.getKey())
                        && nowMs - entry.getValue().changedMs >= UNLISTED_RETENTION_MS);
    }
}
