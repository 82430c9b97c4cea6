package org.wingstall.relay.endpoint;

import java.util.OptionalDouble;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.TransportException;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.ColdStartSpec;

/**
 * Represents an endpoint with its entry in the endpoint list and what this box has observed of it. Safe for use on any
 * thread.
 *
 * <p>{@code if (endpoint.usable()) { send(endpoint); }}
 *
 * @since 0.2
 */
public final class RelayEndpoint {
    private static final Logger LOG = LogManager.getLogger(RelayEndpoint.class);

    /** Time after which a brittle endpoint with as many requests as it is to get is tried again, in ms. */
    private static final long WINDOW_RETRY_MS = 25;

    /** Time for which a stated slowdown is valid, in ms; a few calls long. */
    private static final long SLOWDOWN_VALID_MS = 1000;

    private final EndpointState state;
    private final String key;
    private final SendRestrictions restrictions;
    private final int slots;
    private final MonotonicClock clock;
    private final Listener listener;
    private final Backoff backoff = new Backoff();
    private volatile long startedAtMs;
    private volatile long listedLeavingAtMs = Long.MIN_VALUE / 2;
    private volatile ColdReport coldReport = new ColdReport(0, Long.MIN_VALUE);
    private volatile StatedSlowdown statedSlowdown = new StatedSlowdown(1, Long.MIN_VALUE / 2);

    /** Receives what this box observes of endpoints, on the thread that observes it. */
    interface Listener {
        /** An endpoint gave no response. */
        default void unresponsive(RelayEndpoint endpoint) {}

        /** The connection to an endpoint ended under a request. */
        default void connectionLost(RelayEndpoint endpoint) {}
    }

    /** How long the endpoint last reported to stay cold, and the time at which that ends. */
    private record ColdReport(long reportedMs, long coldUntilMs) {}

    private record StatedSlowdown(double factor, long atMs) {}

    /**
     * Creates an endpoint.
     *
     * @param restrictions restrictions on sending to this incarnation
     * @param startedAtMs when its start was observed, in ms of the clock; far in the past for one that was running
     * before
     */
    RelayEndpoint(
            EndpointState state,
            SendRestrictions restrictions,
            int slots,
            MonotonicClock clock,
            Listener listener,
            long startedAtMs) {
        this.startedAtMs = startedAtMs;
        this.listener = listener;
        this.state = state;
        this.key = state.identity().key();
        this.restrictions = restrictions;
        this.slots = slots;
        this.clock = clock;
    }

    /** Returns the load and timing that this box tracks for the endpoint. */
    public EndpointState state() {
        return state;
    }

    SendRestrictions restrictions() {
        return restrictions;
    }

    /** Returns the number of requests that it runs concurrently. */
    public int slots() {
        return slots;
    }

    /** Returns the identity of the endpoint. */
    public EndpointIdentity identity() {
        return state.identity();
    }

    /** Returns the identifier of the endpoint, which a restarted endpoint may keep. */
    public String id() {
        return state.identity().memberId();
    }

    /** Returns the version of its software, which the list gives as the class of its box. */
    public String softwareVersion() {
        return identity().boxClass();
    }

    /** Returns the key of this incarnation of the endpoint; a restarted endpoint gets another one. */
    public String key() {
        return key;
    }

    /**
     * Returns whether the endpoint may get new work from this box: it accepts requests and is not in backoff after
     * consecutive failures.
     */
    public boolean usable() {
        long nowMs = clock.nowMs();
        return usableByOthers(nowMs) && closedForMs(nowMs) == 0;
    }

    /** Records that its entry says that it leaves, and the earliest time at which it can have said so. */
    void recordListedLeaving(long sinceMs) {
        listedLeavingAtMs = sinceMs;
    }

    /** Records that it stated in an answer that it leaves: from there on it gets nothing. */
    void recordStatedLeaving() {
        listedLeavingAtMs = Long.MIN_VALUE / 2;
    }

    /** Returns whether it leaves, by its entry only, and has done so for no longer than a time. */
    public boolean leavingWithin(long graceMs) {
        return state.leaving() && clock.nowMs() - listedLeavingAtMs < graceMs;
    }

    /** Returns whether it may have ended: a connection to it ended under a request, and it has not responded since. */
    public boolean inDoubt() {
        return backoff.inDoubt();
    }

    /** Returns whether it has responded to this box since its last few failures. */
    public boolean responding() {
        return backoff.responding();
    }

    /** Returns whether other boxes may send it new work, as far as this box knows. */
    public boolean usableByOthers() {
        return usableByOthers(clock.nowMs());
    }

    /** Returns the same as {@link #usableByOthers()} for a time that the caller has read for several endpoints. */
    public boolean usableByOthers(long nowMs) {
        return !state.leaving() && backoff.allowsRequests(nowMs);
    }

    /**
     * Returns the time until the endpoint takes requests from this box again, in ms; 0 unless it has rejected one and
     * named a time, or is brittle and has as many requests of this box as it is to get.
     */
    public long closedForMs() {
        return closedForMs(clock.nowMs());
    }

    /** Returns the same as {@link #closedForMs()} for a time that the caller has read for several endpoints. */
    public long closedForMs(long nowMs) {
        long pauseMs = restrictions.closedForMs(nowMs);
        boolean full = pauseMs == 0 && !restrictions.window().allows(state.inFlight());
        return full ? WINDOW_RETRY_MS : pauseMs;
    }

    /** Records that it is brittle: the requests in flight from this box are limited. */
    void limitRequests() {
        restrictions.window().limit(state.inFlight());
    }

    /**
     * Records that it is brittle and has rejected a request.
     *
     * @param own whether it was a request of this box, which still counts as in flight
     */
    void reduceRequests(boolean own) {
        restrictions.window().rejected(state.inFlight() - (own ? 1 : 0), clock.nowMs());
    }

    /** Records that it is not brittle. */
    void endRequestLimit() {
        restrictions.window().end();
    }

    /** Records that it rejected a request of this box and takes no more for a time. */
    void closeFor(long durationMs) {
        restrictions.closeFor(durationMs, clock.nowMs());
    }

    /** Records that it may have restarted unobserved, so that it is treated as if it had just started. */
    void assumeRestarted() {
        startedAtMs = clock.nowMs();
    }

    /**
     * Records the time for which its entry reports it to stay cold; reading the same entry again does not extend it.
     */
    void updateColdUntil(long coldMs) {
        if (coldMs != coldReport.reportedMs()) {
            coldReport = new ColdReport(coldMs, clock.nowMs() + coldMs);
            LogEvent.info("endpoint-cold")
                    .with("endpoint", id())
                    .with("service", identity().service())
                    .with("forMs", coldMs)
                    .to(LOG);
        }
    }

    /** Returns whether it is cold, as reported by the endpoint or because it started recently. */
    boolean isCold(ColdStartSpec spec, long nowMs) {
        return nowMs < coldReport.coldUntilMs() || nowMs - startedAtMs < spec.durationMs();
    }

    /** Records the ratio that it states of the time that its work takes now to the usual time. */
    void recordStatedSlowdown(double factor) {
        statedSlowdown = new StatedSlowdown(factor, clock.nowMs());
    }

    /** Returns the slowdown factor that it has stated within the last second. */
    public OptionalDouble statedSlowdown() {
        StatedSlowdown stated = statedSlowdown;
        return clock.nowMs() - stated.atMs() <= SLOWDOWN_VALID_MS
                ? OptionalDouble.of(stated.factor())
                : OptionalDouble.empty();
    }

    /** Records a call that got a response. */
    public void recordAnswer(double runMs) {
        backoff.reset();
        restrictions.window().answered(state.inFlight() + 1, clock.nowMs());
        state.recordSuccess(runMs);
    }

    /** Records a call that failed at the endpoint; a few consecutive failures keep new work away. */
    public void recordFailure(String why) {
        logAvoided(backoff.recordFailure(clock.nowMs()), why);
    }

    /**
     * Records a call without a complete response. A failed connection and a timeout count like no response at all: the
     * endpoint has ended or is unreachable, and each further call would wait as long. After a connection that ended under
     * a request, the endpoint may have ended.
     */
    public void recordTransportFailure(TransportException failure) {
        boolean noAnswer =
                failure.kind() == TransportException.Kind.CONNECT || failure.kind() == TransportException.Kind.TIMEOUT;
        if (noAnswer) {
            recordNoAnswer(failure.getMessage());
        } else if (failure.closedByPeer()) {
            recordConnectionLost(failure.getMessage());
        } else {
            recordFailure(failure.getMessage());
        }
    }

    private void recordConnectionLost(String why) {
        logAvoided(backoff.recordConnectionLost(clock.nowMs()), why);
        listener.connectionLost(this);
    }

    /** Records that another box lost a connection to the endpoint, which may have ended. */
    void recordReportedLoss() {
        backoff.recordReportedLoss(clock.nowMs());
    }

    /** Records that the endpoint has not ended; its failures still count. */
    void recordAlive() {
        backoff.recordAlive();
    }

    /**
     * Records a call without any response. New work is kept away at once, since each further call would wait for its
     * timeout.
     */
    public void recordNoAnswer(String why) {
        logAvoided(backoff.recordNoAnswer(clock.nowMs()), why);
        listener.unresponsive(this);
    }

    /** Records that the endpoint is still unresponsive. */
    void recordUnreachable() {
        backoff.recordNoAnswer(clock.nowMs());
    }

    /** Records that the endpoint responded to something other than a call, so that it may get new work again. */
    public void markReachable() {
        backoff.reset();
    }

    private void logAvoided(boolean avoidedNow, String why) {
        if (avoidedNow) {
            LogEvent.warn("endpoint-avoided")
                    .with("endpoint", id())
                    .with("service", identity().service())
                    .with("why", why)
                    .to(LOG);
        }
    }
}
