package org.wingstall.relay.endpoint;

import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.TransportException;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.ColdStartSpec;

/**
 * An endpoint: what the list says it can do, and what this box has seen of it. Safe for use on any thread.
 *
 * <p>{@code if (endpoint.usable()) { send(endpoint); }}
 *
 * @since 0.2
 */
public final class RelayEndpoint {
    private static final Logger LOG = LogManager.getLogger(RelayEndpoint.class);

    private final EndpointState state;
    private final int slots;
    private final MonotonicClock clock;
    private final Consumer<RelayEndpoint> onSilence;
    private final Backoff backoff = new Backoff();
    private volatile long startedAtMs;
    private volatile Warmth warmth = new Warmth(0, Long.MIN_VALUE);

    /** What the endpoint last said of how long it stays cold, and until when that is. */
    private record Warmth(long saidMs, long coldUntilMs) {}

    /**
     * Creates an endpoint.
     *
     * @param startedAtMs when it was seen to start, in ms of the clock; long ago for one that was there before
     */
    RelayEndpoint(
            EndpointState state, int slots, MonotonicClock clock, Consumer<RelayEndpoint> onSilence, long startedAtMs) {
        this.startedAtMs = startedAtMs;
        this.onSilence = onSilence;
        this.state = state;
        this.slots = slots;
        this.clock = clock;
    }

    /** Returns what this box knows of it. */
    public EndpointState state() {
        return state;
    }

    /** Returns the requests that it runs at once. */
    public int slots() {
        return slots;
    }

    /** Returns who and where the endpoint is. */
    public EndpointIdentity identity() {
        return state.identity();
    }

    /** Returns the identifier of the endpoint; one that starts again may keep it. */
    public String id() {
        return state.identity().memberId();
    }

    /** Returns the name of this incarnation of the endpoint: what is counted under it ends when the endpoint starts again. */
    public String key() {
        return id() + "@" + identity().incarnation();
    }

    /** Returns whether new work may go there: it is not leaving and has not just failed several times in a row. */
    public boolean usable() {
        return !state.leaving() && backoff.allowsRequests(clock.nowMs());
    }

    /** Records that it may have started anew out of sight, so that it counts as if it had just started. */
    void assumeRestarted() {
        startedAtMs = clock.nowMs();
    }

    /** Records the time for which its entry says that it stays cold; an entry that is read again says nothing new. */
    void updateColdUntil(long coldMs) {
        if (coldMs != warmth.saidMs()) {
            warmth = new Warmth(coldMs, clock.nowMs() + coldMs);
            LogEvent.info("endpoint-cold")
                    .with("endpoint", id())
                    .with("service", identity().service())
                    .with("forMs", coldMs)
                    .to(LOG);
        }
    }

    /** Returns whether it is cold, as reported by the endpoint or since it started a short while ago. */
    boolean cold(ColdStartSpec spec, long nowMs) {
        return nowMs < warmth.coldUntilMs() || nowMs - startedAtMs < spec.durationMs();
    }

    /** Records a call that was answered. */
    public void recordAnswer(double runMs) {
        backoff.reset();
        state.recordSuccess(runMs);
    }

    /** Records a call that failed there; a few in a row keep new work away. */
    public void recordFailure(String why) {
        noteAvoided(backoff.recordFailure(clock.nowMs()), why);
    }

    /**
     * Records a call that got no whole answer. One without a connection or in time counts like one without any
     * answer: the endpoint has ended or is cut off, and each further call would wait as long.
     */
    public void recordTransportFailure(TransportException failure) {
        boolean silent =
                failure.kind() == TransportException.Kind.CONNECT || failure.kind() == TransportException.Kind.TIMEOUT;
        if (silent) {
            recordNoAnswer(failure.getMessage());
        } else {
            recordFailure(failure.getMessage());
        }
    }

    /** Records a call that was not answered at all: new work stays away at once, since each call costs its time. */
    public void recordNoAnswer(String why) {
        noteAvoided(backoff.recordNoAnswer(clock.nowMs()), why);
        onSilence.accept(this);
    }

    /** Records that it is silent still. */
    void recordUnreachable() {
        backoff.recordNoAnswer(clock.nowMs());
    }

    /** Records a sign of life other than an answer to a call; new work may go there again. */
    void markReachable() {
        backoff.reset();
    }

    private void noteAvoided(boolean avoidedNow, String why) {
        if (avoidedNow) {
            LogEvent.warn("endpoint-avoided")
                    .with("endpoint", id())
                    .with("service", identity().service())
                    .with("why", why)
                    .to(LOG);
        }
    }
}
