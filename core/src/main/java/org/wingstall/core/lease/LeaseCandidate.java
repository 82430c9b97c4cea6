package org.wingstall.core.lease;

import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.table.LeaseRow;

/**
 * One box's view of a lease whose row lies in the platform's table; not safe for several threads.
 *
 * <p>No wall clock is compared with another box's. The holder counts its time from before it sent the write; every other
 * box counts from when it first saw the row as it stands, and adds a guard. So the holder's time is over before another
 * box begins to write, unless the holder is paused between looking at {@link #remainingMs()} and acting: that is what the token
 * is for.
 *
 * <p>{@code LeaseStep step = candidate.next(version, row); ... candidate.written(write, sentAtMs);}
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
     * Creates the view of a box that does not hold the lease.
     *
     * @param self box and incarnation, unique for ever
     * @param durationMs time that a renewal lasts, in ms
     * @param guardMs time that this box waits beyond another one's end, in ms
     * @param clock monotonic clock
     */
    public LeaseCandidate(String self, long durationMs, long guardMs, MonotonicClock clock) {
        this.self = self;
        this.durationMs = durationMs;
        this.guardMs = guardMs;
        this.clock = clock;
    }

    /**
     * Decides what to do about the row as it was just read.
     *
     * @param version version of the row; 0 when it is absent
     * @param row the row, or null when it is absent
     * @return what to do
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
     * Records a write that definitely took effect.
     *
     * @param write the write
     * @param sentAtMs when it was sent, in ms of the monotonic clock
     */
    public void recordWritten(LeaseStep.Write write, long sentAtMs) {
        held = new Held(write.row().getToken(), sentAtMs + durationMs);
    }

    /** Records that the lease is lost or must not be used. */
    public void invalidate() {
        held = Held.NONE;
    }

    /** Returns the row that gives the lease back, for a box that holds it. */
    public LeaseRow releasedRow() {
        return new LeaseRow(NO_HOLDER, held.token(), durationMs);
    }

    /** Returns the token; 0 when the lease is not held or its time is over. */
    public long token() {
        Held now = held;
        return now.untilMs() > clock.nowMs() ? now.token() : 0;
    }

    /** Returns the time left, in ms; 0 when the lease is not held. */
    public long remainingMs() {
        Held now = held;
        return now.token() == 0 ? 0 : Math.max(0, now.untilMs() - clock.nowMs());
    }

    private LeaseRow ownRow(long token) {
        return new LeaseRow(self, token, durationMs);
    }
}
