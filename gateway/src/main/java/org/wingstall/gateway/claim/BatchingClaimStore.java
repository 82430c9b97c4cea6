package org.wingstall.gateway.claim;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.Metrics;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.platform.Condition;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.platform.Transaction;
import org.wingstall.schema.platform.TransactionResult;
import org.wingstall.schema.platform.Write;

/**
 * Commits many changes of claims in one transaction. Two transactions begin at least an interval apart, and one follows on
 * the other; a change that alone is conflicted is answered as such and the rest are tried again.
 */
final class BatchingClaimStore implements ClaimStore {
    private static final int MOST_IN_BATCH = 512;

    private final ClaimTable claims;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final long intervalMs;
    private final Metrics metrics;
    private final List<Pending> queue = new ArrayList<>();
    private boolean committing;
    private boolean scheduled;
    private long lastBeganMs;

    private record Pending(ClaimRequest request, CompletableFuture<ClaimChange> change) {}

    BatchingClaimStore(ClaimTable claims, EventLoop loop, MonotonicClock clock, long intervalMs, Metrics metrics) {
        this.claims = claims;
        this.loop = loop;
        this.clock = clock;
        this.intervalMs = intervalMs;
        this.metrics = metrics;
        this.lastBeganMs = clock.nowMs() - intervalMs;
    }

    @Override
    public boolean reachable() {
        return claims.reachable();
    }

    @Override
    public CompletableFuture<ClaimTable.Versioned> read(String key) {
        return claims.read(key);
    }

    @Override
    public CompletableFuture<ClaimChange> write(ClaimRequest request) {
        CompletableFuture<ClaimChange> change = new CompletableFuture<>();
        loop.execute(() -> {
            queue.add(new Pending(request, change));
            beginWhenDue();
        });
        return change;
    }

    private void beginWhenDue() {
        if (committing || scheduled || queue.isEmpty()) {
            return;
        }
        long waitMs = lastBeganMs + intervalMs - clock.nowMs();
        if (waitMs <= 0) {
            begin();
            return;
        }
        scheduled = true;
        loop.schedule(
                () -> {
                    scheduled = false;
                    beginWhenDue();
                },
                waitMs,
                TimeUnit.MILLISECONDS);
    }

    private void begin() {
        Map<String, Pending> batch = new LinkedHashMap<>();
        List<Pending> later = new ArrayList<>();
        for (Pending pending : queue) {
            boolean fits = batch.size() < MOST_IN_BATCH
                    && batch.putIfAbsent(pending.request().getKey(), pending) == null;
            if (!fits) {
                later.add(pending);
            }
        }
        queue.clear();
        queue.addAll(later);
        committing = true;
        lastBeganMs = clock.nowMs();
        commit(batch);
    }

    private void commit(Map<String, Pending> batch) {
        metrics.claimTransaction(batch.size());
        claims.rows()
                .transact(transactionOf(batch))
                .whenCompleteAsync((result, failure) -> committed(batch, result, failure), loop);
    }

    private static Transaction transactionOf(Map<String, Pending> batch) {
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (Pending pending : batch.values()) {
            ClaimRequest request = pending.request();
            conditions.add(new Condition(request.getKey(), request.getExpectedVersion()));
            writes.add(new Write(request.getKey(), Json.toTree(request.getRow())));
        }
        return new Transaction(conditions, writes);
    }

    private void committed(Map<String, Pending> batch, TransactionResult result, Throwable failure) {
        if (failure != null) {
            batch.values().forEach(pending -> pending.change().complete(ClaimChange.unanswered()));
        } else if (result.isCommitted()) {
            answerCommitted(batch, result);
        } else if (dropConflicts(batch, result) && !batch.isEmpty()) {
            commit(batch);
            return;
        }
        committing = false;
        beginWhenDue();
    }

    private static void answerCommitted(Map<String, Pending> batch, TransactionResult result) {
        Map<String, Long> versions = new HashMap<>();
        for (TableRow row : result.getVersions()) {
            versions.put(row.getKey(), row.getVersion());
        }
        batch.forEach((key, pending) -> pending.change().complete(ClaimChange.committed(versions.get(key))));
    }

    /** Answers the changes in whose way another row stood; returns whether there were any. */
    private static boolean dropConflicts(Map<String, Pending> batch, TransactionResult result) {
        Set<String> dropped = new HashSet<>();
        for (TableRow row : result.getConflicts()) {
            Pending pending = batch.remove(row.getKey());
            if (pending != null) {
                dropped.add(row.getKey());
                ClaimTable.Versioned found = ClaimTable.versioned(row);
                pending.change().complete(ClaimChange.conflict(found.version(), found.row()));
            }
        }
        if (dropped.isEmpty()) {
            batch.values().forEach(pending -> pending.change().complete(ClaimChange.unanswered()));
        }
        return !dropped.isEmpty();
    }
}
