package org.wingstall.gateway.engine;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.lease.LeaseCandidate;
import org.wingstall.core.lease.LeaseStep;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.platform.TableService;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.platform.Condition;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.platform.Transaction;
import org.wingstall.schema.platform.TransactionResult;
import org.wingstall.schema.platform.Write;
import org.wingstall.schema.table.LeaseRow;

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
        return candidate.leftMs() >= callTimeoutMs ? candidate.token() : 0;
    }

    long leftMs() {
        return candidate.leftMs();
    }

    /** Takes note that an engine has seen a higher token. */
    void superseded() {
        candidate.drop();
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
        if (failure != null) {
            busy = false;
            return;
        }
        try {
            boolean absent = row.getVersion() == 0;
            LeaseRow lease = absent ? null : Json.convert(row.getValue(), LeaseRow.class);
            LeaseStep step = candidate.next(row.getVersion(), lease);
            if (step instanceof LeaseStep.Write write) {
                write(write);
                return;
            }
        } catch (InvalidDocumentException e) {
            LogEvent.warn("lease-row-unreadable").cause(e).to(LOG);
        }
        busy = false;
    }

    private void write(LeaseStep.Write write) {
        long sentAtMs = clock.nowMs();
        put(write.expectedVersion(), write.row())
                .whenCompleteAsync((result, failure) -> written(write, sentAtMs, result, failure), loop);
    }

    /** An unanswered write permits nothing; the next read shows whether it took effect. */
    private void written(LeaseStep.Write write, long sentAtMs, TransactionResult result, Throwable failure) {
        busy = false;
        if (failure == null && result.isCommitted()) {
            candidate.written(write, sentAtMs);
            if (write.row().getToken() != lastToken) {
                lastToken = write.row().getToken();
                LogEvent.info("lease-taken")
                        .with("lease", key)
                        .with("token", lastToken)
                        .to(LOG);
            }
        } else if (failure == null) {
            candidate.drop();
        }
    }

    /** Gives the lease back, so that a successor need not wait for its end. */
    void release() {
        if (candidate.token() == 0) {
            return;
        }
        LeaseRow released = candidate.released();
        candidate.drop();
        notBeforeMs = Long.MAX_VALUE;
        table.read(key)
                .thenAcceptAsync(
                        row -> {
                            LeaseRow now = Json.MAPPER.convertValue(row.getValue(), LeaseRow.class);
                            if (now != null && now.getToken() == released.getToken()) {
                                put(row.getVersion(), released);
                            }
                        },
                        loop);
    }

    private CompletableFuture<TransactionResult> put(long expectedVersion, LeaseRow row) {
        return table.transact(new Transaction(
                List.of(new Condition(key, expectedVersion)), List.of(new Write(key, Json.toTree(row)))));
    }
}
