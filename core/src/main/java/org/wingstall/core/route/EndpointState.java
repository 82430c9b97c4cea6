package org.wingstall.core.route;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wingstall.core.time.MonotonicClock;

/**
 * Tracks the calls, failures and load of one incarnation of an endpoint, as seen by this gateway. Thread-safe and
 * lock-free, except for {@link #prefixes()}.
 *
 * <p>{@code if (endpoint.tryAcquire(window)) { call(endpoint); } ... endpoint.release();}
 *
 * @since 0.1
 */
public final class EndpointState {
    private static final double RUN_TIME_SMOOTHING_FACTOR = 0.15;
    private static final double REPORT_HALF_LIFE_MS = 1000;
    private static final int MAX_PREFIX_BLOCKS = 2048;

    private final EndpointIdentity identity;
    private final MonotonicClock clock;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger consecutiveFailures = new AtomicInteger();
    private final AtomicLong lastCompletionMs = new AtomicLong(Long.MIN_VALUE / 2);
    private final AtomicLong lastActivityMs = new AtomicLong(Long.MIN_VALUE / 2);
    private final PrefixTracker prefixes = new PrefixTracker(MAX_PREFIX_BLOCKS);
    private volatile double meanRunMs;
    private volatile Report report = new Report(0, 0, Long.MIN_VALUE / 2);
    private final AtomicBoolean inDoubt = new AtomicBoolean();
    private volatile boolean ejected;
    private volatile boolean leaving;

    private record Report(int inFlight, int ownAtReport, long atMs) {}

    /**
     * Creates the state of an endpoint that has not received any calls.
     *
     * @param identity identity of the endpoint
     * @param clock clock that determines the age of load reports
     */
    public EndpointState(EndpointIdentity identity, MonotonicClock clock) {
        this.identity = identity;
        this.clock = clock;
    }

    /** Returns the identity of the endpoint. */
    public EndpointIdentity identity() {
        return identity;
    }

    /** Returns the address of the endpoint. */
    public InetSocketAddress address() {
        return identity.address();
    }

    /** Returns the number of calls from this gateway in flight at the endpoint. */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Acquires a slot if this gateway has fewer calls in flight at the endpoint than its window allows.
     *
     * @param window maximum number of concurrent calls from this gateway
     * @return whether a slot was acquired
     */
    public boolean tryAcquire(int window) {
        while (true) {
            int current = inFlight.get();
            if (current >= window) {
                return false;
            }
            if (inFlight.compareAndSet(current, current + 1)) {
                return true;
            }
        }
    }

    /** Releases a slot. */
    public void release() {
        inFlight.decrementAndGet();
    }

    /**
     * Records a call that was completed with a response, which also ends an ejection.
     *
     * @param runMs time from the call to its response, in ms
     */
    public void recordSuccess(double runMs) {
        recordActivity();
        consecutiveFailures.set(0);
        lastCompletionMs.set(clock.nowMs());
        ejected = false;
        inDoubt.set(false);
        double previousMs = meanRunMs;
        meanRunMs = previousMs == 0 ? runMs : previousMs + RUN_TIME_SMOOTHING_FACTOR * (runMs - previousMs);
    }

    /**
     * Records a call that failed at the endpoint or got no response in time.
     *
     * @param ejectAfterFailures number of consecutive failures after which the endpoint is ejected
     * @return whether this failure ejected the endpoint
     */
    public boolean recordFailure(int ejectAfterFailures) {
        boolean eject = consecutiveFailures.incrementAndGet() >= ejectAfterFailures && !ejected;
        if (eject) {
            ejected = true;
        }
        return eject;
    }

    /** Records that a token of any call was received; {@link #recordSuccess} does the same for a response. */
    public void recordActivity() {
        lastActivityMs.set(clock.nowMs());
    }

    /** Returns the time since the last token of, or response to, any call from this gateway, in ms. */
    public long activityAgeMs() {
        return clock.nowMs() - lastActivityMs.get();
    }

    /**
     * Records that a connection to the endpoint ended under a call, here or at another gateway, so that the endpoint may
     * have ended. It is in doubt until it completes a call or responds to a probe.
     *
     * @return whether it was not in doubt before
     */
    public boolean recordConnectionLost() {
        return inDoubt.compareAndSet(false, true);
    }

    /**
     * Records a successful probe, which ends an ejection. The consecutive failures of an endpoint that was not ejected
     * still count.
     */
    public void recordProbeSuccess() {
        inDoubt.set(false);
        if (ejected) {
            consecutiveFailures.set(0);
            ejected = false;
        }
    }

    /** Records a response to a probe that was no success; the endpoint has not ended, but stays ejected if it was. */
    public void recordProbeRejected() {
        inDoubt.set(false);
    }

    /** Records a probe without a response; an endpoint in doubt is ejected. */
    public void recordProbeFailure() {
        if (inDoubt.compareAndSet(true, false)) {
            ejected = true;
        }
    }

    /** Returns whether the endpoint may have ended, so that it gets work only if no other endpoint can take it. */
    public boolean inDoubt() {
        return inDoubt.get();
    }

    /**
     * Records the load that the endpoint reported.
     *
     * @param reportedInFlight calls in flight at the endpoint from all gateways
     */
    public void recordReportedLoad(int reportedInFlight) {
        report = new Report(reportedInFlight, inFlight.get(), clock.nowMs());
    }

    /** Marks the endpoint as leaving; permanent for this incarnation. */
    public void markLeaving() {
        leaving = true;
    }

    /** Returns whether the endpoint is leaving. */
    public boolean leaving() {
        return leaving;
    }

    /** Returns whether the endpoint is ejected, so that it receives no work until a call or probe succeeds. */
    public boolean ejected() {
        return ejected;
    }

    /** Returns whether the endpoint may receive new work. */
    public boolean serving() {
        return !leaving && !ejected;
    }

    /** Returns the mean duration of a call to the endpoint, in ms; 0 if none has been measured. */
    public double meanRunMs() {
        return meanRunMs;
    }

    /** Returns the time since the last response, in ms. */
    public long completionAgeMs() {
        return clock.nowMs() - lastCompletionMs.get();
    }

    /**
     * Estimates the calls in flight at the endpoint: those of this gateway, plus those of other gateways from the last
     * load report, whose weight halves with every second of its age.
     *
     * @return estimated calls in flight from all gateways
     */
    public double estimatedLoad() {
        Report lastReport = report;
        double othersAtReport = Math.max(0, lastReport.inFlight() - lastReport.ownAtReport());
        double ageMs = clock.nowMs() - lastReport.atMs();
        return inFlight.get() + othersAtReport * Math.pow(0.5, ageMs / REPORT_HALF_LIFE_MS);
    }

    /** Returns the tracker of prompt prefixes sent to the endpoint. */
    public PrefixTracker prefixes() {
        return prefixes;
    }
}
