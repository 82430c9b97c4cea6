package org.wingstall.core.route;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wingstall.core.time.MonotonicClock;

/**
 * What a gateway knows of one incarnation of an endpoint; safe for use from all event loops without locks.
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
    private volatile boolean ejected;
    private volatile boolean leaving;

    private record Report(int inFlight, int ownAtReport, long atMs) {}

    /**
     * Creates the state of an endpoint that has not been called yet.
     *
     * @param identity who and where the endpoint is
     * @param clock clock that reports age by
     */
    public EndpointState(EndpointIdentity identity, MonotonicClock clock) {
        this.identity = identity;
        this.clock = clock;
    }

    /** Returns who and where the endpoint is. */
    public EndpointIdentity identity() {
        return identity;
    }

    /** Returns the address of the endpoint. */
    public InetSocketAddress address() {
        return identity.address();
    }

    /** Returns the calls of this gateway in flight there. */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Takes a slot if this gateway has fewer calls there than its window.
     *
     * @param window most calls of this gateway at once
     * @return whether a slot was taken
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

    /** Gives a slot back. */
    public void release() {
        inFlight.decrementAndGet();
    }

    /**
     * Records a call that was answered.
     *
     * @param runMs time from call to answer, in ms
     */
    public void recordSuccess(double runMs) {
        recordActivity();
        consecutiveFailures.set(0);
        lastCompletionMs.set(clock.nowMs());
        ejected = false;
        double previousMs = meanRunMs;
        meanRunMs = previousMs == 0 ? runMs : previousMs + RUN_TIME_SMOOTHING_FACTOR * (runMs - previousMs);
    }

    /**
     * Records a call that failed at the endpoint or was not answered in time.
     *
     * @param ejectAfterFailures failures in a row after which the endpoint gets no work
     * @return whether this failure ejected the endpoint
     */
    public boolean recordFailure(int ejectAfterFailures) {
        boolean eject = consecutiveFailures.incrementAndGet() >= ejectAfterFailures && !ejected;
        if (eject) {
            ejected = true;
        }
        return eject;
    }

    /** Records a token, to whichever call; {@link #recordSuccess} does so for an answer. */
    public void recordActivity() {
        lastActivityMs.set(clock.nowMs());
    }

    /** Returns the time since the last token or answer to any call of this gateway, in ms. */
    public long activityAgeMs() {
        return clock.nowMs() - lastActivityMs.get();
    }

    /** Records a probe that ran; the endpoint gets work again. */
    public void recordProbeSuccess() {
        consecutiveFailures.set(0);
        ejected = false;
    }

    /**
     * Records what the endpoint said of its load.
     *
     * @param reportedInFlight calls there from all gateways
     */
    public void recordReportedLoad(int reportedInFlight) {
        report = new Report(reportedInFlight, inFlight.get(), clock.nowMs());
    }

    /** Marks the endpoint as leaving; this incarnation stays so. */
    public void markLeaving() {
        leaving = true;
    }

    /** Returns whether the endpoint is leaving. */
    public boolean leaving() {
        return leaving;
    }

    /** Returns whether the endpoint gets no work until a probe ran there. */
    public boolean ejected() {
        return ejected;
    }

    /** Returns whether new work may go there. */
    public boolean serving() {
        return !leaving && !ejected;
    }

    /** Returns the mean time of a call there, in ms; 0 when none has been measured. */
    public double meanRunMs() {
        return meanRunMs;
    }

    /** Returns the age of the last answered call, in ms. */
    public long completionAgeMs() {
        return clock.nowMs() - lastCompletionMs.get();
    }

    /**
     * Estimates the calls there: this gateway's own, and others' by the last report, which counts half for every second
     * of its age.
     *
     * @return estimated calls in flight from all gateways
     */
    public double estimatedLoad() {
        Report last = report;
        double othersAtReport = Math.max(0, last.inFlight() - last.ownAtReport());
        double ageMs = clock.nowMs() - last.atMs();
        return inFlight.get() + othersAtReport * Math.pow(0.5, ageMs / REPORT_HALF_LIFE_MS);
    }

    /** Returns the memory of prompt prefixes sent there. */
    public PrefixTracker prefixes() {
        return prefixes;
    }
}
