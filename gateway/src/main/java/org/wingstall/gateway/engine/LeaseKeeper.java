package org.wingstall.gateway.engine;

import io.netty.channel.EventLoop;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.lease.LeaseCandidate;
import org.wingstall.core.lease.LeaseStep;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.platform.TransactionResult;
import org.wingstall.schema.table.LeaseRow;
import org.wingstall.table.TableService;

/** Takes, renews and gives back the lease under which a failure domain's engines get orders; on the control loop. */
final class LeaseKeeper {
    private static final Logger LOG = LogManager.getLogger(LeaseKeeper.class);

    private final TableService table;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final String key;
    private final LeaseCandidate candidate;
    private boolean busy;
    private long notBeforeMs;
    private long lastToken;

    LeaseKeeper(TableService table, EventLoop loop, MonotonicClock clock, String key, LeaseCandidate candidate) {
        this.table = table;
        this.loop = loop;
        this.clock = clock;
        this.key = key;
        this.candidate = candidate;
    }

    /** Returns the token under which an order that takes up to this long may be given now; 0 when none may. */
    long tokenFor(long callTimeoutMs) {
        return candidate.remainingMs() >= callTimeoutMs ? candidate.token() : 0;
    }

    long leftMs() {
        return candidate.remainingMs();
    }

    /** Records that an engine has seen a higher token. */
    void superseded() {
        candidate.invalidate();
    }

    /** Reads the row and does what is due, unless that is under way or was done a moment ago. */
    void tick(long intervalMs) {
        if (busy || clock.nowMs() < notBeforeMs) {
            return;
        }
        busy = true;
        notBeforeMs = clock.nowMs() + intervalMs;
        table.read(key).whenCompleteAsync(this::read, loop);
    }

    private void read(TableRow row, Throwable failure) {
        LeaseStep step = failure == null ? stepAfter(row) : null;
        if (step instanceof LeaseStep.Write write) {
            write(write);
        } else {
            busy = false;
        }
    }

    /** Returns what is due, or null when the row can't be read. */
    private LeaseStep stepAfter(TableRow row) {
        try {
            return candidate.nextStep(row.getVersion(), leaseOf(row));
        } catch (InvalidDocumentException e) {
            LogEvent.warn("lease-row-unreadable").cause(e).to(LOG);
            return null;
        }
    }

    private static LeaseRow leaseOf(TableRow row) throws InvalidDocumentException {
        return row.getVersion() == 0 ? null : Json.convert(row.getValue(), LeaseRow.class);
    }

    private void write(LeaseStep.Write write) {
        long sentAtMs = clock.nowMs();
        table.replace(key, write.expectedVersion(), Json.toTree(write.row()))
                .whenCompleteAsync((result, failure) -> written(write, sentAtMs, result, failure), loop);
    }

    /** An unanswered write permits nothing; the next read shows whether it took effect. */
    private void written(LeaseStep.Write write, long sentAtMs, TransactionResult result, Throwable failure) {
        busy = false;
        if (failure == null && result.isCommitted()) {
            candidate.recordWritten(write, sentAtMs);
            if (write.row().getToken() != lastToken) {
                lastToken = write.row().getToken();
                LogEvent.info("lease-taken")
                        .with("lease", key)
                        .with("token", lastToken)
                        .to(LOG);
            }
        } else if (failure == null) {
            candidate.invalidate();
        }
    }

    /** Gives the lease back, so that a successor need not wait for its end. */
    void release() {
        if (candidate.token() == 0) {
            return;
        }
        LeaseRow released = candidate.releasedRow();
        candidate.invalidate();
        notBeforeMs = Long.MAX_VALUE;
        table.read(key).thenAcceptAsync(row -> giveBack(row, released), loop);
    }

    private void giveBack(TableRow row, LeaseRow released) {
        try {
            LeaseRow now = leaseOf(row);
            if (now != null && now.getToken() == released.getToken()) {
                table.replace(key, row.getVersion(), Json.toTree(released));
            }
        } catch (InvalidDocumentException e) {
            LogEvent.warn("lease-row-unreadable").cause(e).to(LOG);
        }
    }
}
