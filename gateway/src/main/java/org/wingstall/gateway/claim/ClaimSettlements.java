package org.wingstall.gateway.claim;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.core.claim.ClaimDecision;
import org.wingstall.core.claim.ClaimProtocol;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.table.ClaimRow;

/** Records and gives up claims; tries until the platform's table has taken each, however long that takes. */
final class ClaimSettlements {
    private static final int LARGEST_ROW_BYTES = 65_536;
    private static final long RETRY_MS = 200;
    private static final int MOST_PENDING = 10_000;

    private final ClaimKeeper.Parts parts;
    private final ClaimStore store;
    private final AtomicInteger pending = new AtomicInteger();

    ClaimSettlements(ClaimKeeper.Parts parts, ClaimStore store) {
        this.parts = parts;
        this.store = store;
    }

    /** Returns the recordings and abandonments that have not reached the table yet. */
    int pending() {
        return pending.get();
    }

    /**
     * Records the answer of a claim that is held.
     *
     * @param claim the claim
     * @param answer the answer
     * @return completes when the table holds the answer, however long that takes
     */
    CompletableFuture<Void> record(Claim claim, Answer answer) {
        byte[] bytes = Json.write(answer);
        CompletableFuture<Void> done = new CompletableFuture<>();
        if (!takePending()) {
            return done;
        }
        boolean large = bytes.length > LARGEST_ROW_BYTES;
        String object = large ? "answers/" + claim.row().getAttempt() : null;
        ClaimRow row = new ClaimRow(
                ClaimRow.State.DONE,
                claim.row().getAttempt(),
                claim.row().getFingerprint(),
                claim.row().getClaimedAtMs(),
                claim.row().getDeadlineMs(),
                large ? null : Json.toTree(answer),
                object);
        parts.loop().execute(() -> storeThenRecord(claim, row, large ? bytes : null, done));
        return done;
    }

    private void storeThenRecord(Claim claim, ClaimRow row, byte[] content, CompletableFuture<Void> done) {
        if (content == null) {
            writeRecord(claim, row, done);
            return;
        }
        parts.objects()
                .put(row.getAnswerObject(), content)
                .whenCompleteAsync(
                        (stored, failure) -> {
                            if (failure == null) {
                                writeRecord(claim, row, done);
                            } else {
                                retryLater(() -> storeThenRecord(claim, row, content, done));
                            }
                        },
                        parts.loop());
    }

    private void writeRecord(Claim claim, ClaimRow row, CompletableFuture<Void> done) {
        store.write(new ClaimRequest(claim.key(), claim.version(), row))
                .whenCompleteAsync(
                        (change, failure) -> {
                            if (change.result() == ClaimChange.Result.UNANSWERED) {
                                retryLater(() -> writeRecord(claim, row, done));
                                return;
                            }
                            pending.decrementAndGet();
                            done.complete(null);
                        },
                        parts.loop());
    }

    /**
     * Gives up a claim that was never run, so that another attempt can take the key and no late write can.
     *
     * @param claim the claim, held or not
     */
    void abandon(Claim claim) {
        if (takePending()) {
            parts.loop().execute(() -> tryAbandon(claim));
        }
    }

    private void tryAbandon(Claim claim) {
        store.read(claim.key())
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure == null) {
                                writeAbandoned(claim, found);
                            } else {
                                retryLater(() -> tryAbandon(claim));
                            }
                        },
                        parts.loop());
    }

    private void writeAbandoned(Claim claim, ClaimTable.Versioned found) {
        ClaimDecision decision = ClaimProtocol.abandon(claim.row(), found.version(), found.row());
        if (!(decision instanceof ClaimDecision.Write write)) {
            pending.decrementAndGet();
            return;
        }
        store.write(new ClaimRequest(claim.key(), write.expectedVersion(), write.row()))
                .whenCompleteAsync((change, failure) -> abandoned(claim, change), parts.loop());
    }

    private void abandoned(Claim claim, ClaimChange change) {
        if (change.result() == ClaimChange.Result.COMMITTED) {
            parts.metrics().claimAbandoned();
            pending.decrementAndGet();
        } else {
            retryLater(() -> tryAbandon(claim));
        }
    }

    /** Waits longer the more is pending, so that an outage's end brings no wave. */
    private void retryLater(Runnable action) {
        long spreadMs = RETRY_MS + 2L * pending.get();
        parts.loop().schedule(action, parts.retryAfter().jitteredMs(spreadMs), TimeUnit.MILLISECONDS);
    }

    private boolean takePending() {
        if (pending.incrementAndGet() <= MOST_PENDING) {
            return true;
        }
        pending.decrementAndGet();
        parts.metrics().claimPendingOverflow();
        return false;
    }
}
