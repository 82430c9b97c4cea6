package org.wingstall.core.lease;

import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.table.LeaseRow;

/**
 * Decides when one box may acquire or renew a lease that is stored as a row in the platform's table. Not thread-safe.
 *
 * <p>Clocks of different boxes are never compared. The holder measures the lease duration from before it sent the
 * write; every other box measures it from when it first saw the current version of the row, and adds a guard time. So
 * the holder's lease expires before another box starts to write, unless the holder is paused between checking
 * {@link #remainingMs()} and acting; the fencing token protects against that case.
 *
 * <p>{@code LeaseStep step = candidate.nextStep(version, row); ... candidate.recordWritten(write, sentAtMs);}
 *
 * @since 0.1
 */
public final class LeaseCandidate {
    private static final String NO_HOLDER = "";

    private final String self;
    private final long durationMs;
    private final long guardMs;
    private final MonotonicClock clock;
    private long lastSeenVersion = -1;
    private long firstSeenAtMs;
    private volatile Held held = Held.NONE;

    private record Held(long token, long untilMs) {
        static final Held NONE = new Held(0, Long.MIN_VALUE);
    }

    /**
     * Creates a candidate that does not hold the lease.
     *
     * @param self box and incarnation; never reused
     * @param durationMs duration of the lease after each write, in ms
     * @param guardMs time that this box waits after another box's lease has expired, in ms
     * @param clock monotonic clock
     */
    public LeaseCandidate(String self, long durationMs, long guardMs, MonotonicClock clock) {
        this.self = self;
        this.durationMs = durationMs;
        this.guardMs = guardMs;
        this.clock = clock;
    }

    /**
     * Returns the next step for the row as just read.
     *
     * @param version version of the row; 0 if the row is absent
     * @param row the row, or null if it is absent
     * @return whether to write the row or to wait
     */
    public LeaseStep nextStep(long version, LeaseRow row) {
        long nowMs = clock.nowMs();
        if (version != lastSeenVersion) {
            lastSeenVersion = version;
            firstSeenAtMs = nowMs;
        }
        if (row == null) {
            return new LeaseStep.Write(0, ownRow(1));
        }
        if (row.getHolder().equals(self)) {
            return new LeaseStep.Write(version, ownRow(row.getToken()));
        }
        invalidate();
        long waitMs = firstSeenAtMs + row.getDurationMs() + guardMs - nowMs;
        boolean free = row.getHolder().equals(NO_HOLDER) || waitMs <= 0;
        return free ? new LeaseStep.Write(version, ownRow(row.getToken() + 1)) : new LeaseStep.Wait(waitMs);
    }

    /**
     * Records a write that is known to have taken effect.
     *
     * @param write the write
     * @param sentAtMs when the write was sent, in ms of the monotonic clock
     */
    public void recordWritten(LeaseStep.Write write, long sentAtMs) {
        held = new Held(write.row().getToken(), sentAtMs + durationMs);
    }

    /** Stops using the lease, because it was lost or must not be used. */
    public void invalidate() {
        held = Held.NONE;
    }

    /** Returns the row to write to release the lease; only for a box that holds it. */
    public LeaseRow releasedRow() {
        return new LeaseRow(NO_HOLDER, held.token(), durationMs);
    }

    /** Returns the fencing token; 0 if the lease is not held or has expired. */
    public long token() {
        Held current = held;
        return current.untilMs() > clock.nowMs() ? current.token() : 0;
    }

    /** Returns the time until the lease expires, in ms; 0 if it is not held. */
    public long remainingMs() {
        Held current = held;
        return current.token() == 0 ? 0 : Math.max(0, current.untilMs() - clock.nowMs());
    }

    private LeaseRow ownRow(long token) {
        return new LeaseRow(self, token, durationMs);
    }
}
