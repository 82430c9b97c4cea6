package org.wingstall.core.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.schema.table.LeaseRow;

public class LeaseCandidateTest {
    private static final long DURATION_MS = 1000;
    private static final long GUARD_MS = 200;

    private final AtomicLong nowMs = new AtomicLong();
    private LeaseCandidate candidate;

    @BeforeMethod
    public void create() {
        nowMs.set(5000);
        candidate = new LeaseCandidate("me", DURATION_MS, GUARD_MS, () -> TimeUnit.MILLISECONDS.toNanos(nowMs.get()));
    }

    private static LeaseRow row(String holder, long token) {
        return new LeaseRow(holder, token, DURATION_MS);
    }

    private LeaseStep.Write nextWrite(long version, LeaseRow row) {
        LeaseStep step = candidate.nextStep(version, row);
        assertTrue(step instanceof LeaseStep.Write, step.toString());
        return (LeaseStep.Write) step;
    }

    @Test
    public void acquiresAbsentRowWithFirstToken() {
        assertEquals(nextWrite(0, null), new LeaseStep.Write(0, row("me", 1)));
    }

    @Test
    public void acquiresHeldRowOnlyAfterDurationAndGuardWithoutChange() {
        assertEquals(candidate.nextStep(4, row("other", 7)), new LeaseStep.Wait(DURATION_MS + GUARD_MS));
        nowMs.addAndGet(DURATION_MS);
        assertEquals(candidate.nextStep(4, row("other", 7)), new LeaseStep.Wait(GUARD_MS));
        assertEquals(candidate.nextStep(5, row("other", 7)), new LeaseStep.Wait(DURATION_MS + GUARD_MS));
        nowMs.addAndGet(DURATION_MS + GUARD_MS);
        assertEquals(nextWrite(5, row("other", 7)), new LeaseStep.Write(5, row("me", 8)));
    }

    @Test
    public void acquiresReleasedRowImmediately() {
        assertEquals(nextWrite(9, row("", 3)), new LeaseStep.Write(9, row("me", 4)));
    }

    @Test
    public void leaseDurationCountsFromBeforeWriteWasSent() {
        LeaseStep.Write write = nextWrite(0, null);
        long sentAtMs = nowMs.get();
        nowMs.addAndGet(300);
        candidate.recordWritten(write, sentAtMs);
        assertEquals(candidate.remainingMs(), DURATION_MS - 300);
        assertEquals(candidate.token(), 1);
        nowMs.set(sentAtMs + DURATION_MS);
        assertEquals(candidate.token(), 0);
        assertEquals(candidate.remainingMs(), 0);
    }

    @Test
    public void losesLeaseWhenRowNamesAnotherHolder() {
        candidate.recordWritten(nextWrite(0, null), nowMs.get());
        candidate.nextStep(2, row("other", 2));
        assertEquals(candidate.token(), 0);
    }

    @Test
    public void renewalKeepsToken() {
        assertEquals(nextWrite(6, row("me", 5)), new LeaseStep.Write(6, row("me", 5)));
    }
}
