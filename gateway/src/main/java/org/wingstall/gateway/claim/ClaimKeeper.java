package org.wingstall.gateway.claim;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.core.claim.ClaimDecision;
import org.wingstall.core.claim.ClaimProtocol;
import org.wingstall.gateway.Metrics;
import org.wingstall.platform.ObjectStore;
import org.wingstall.platform.TableService;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.table.ClaimRow;

/**
 * Takes, records and gives up claims by the rules of {@link ClaimProtocol}, on the control loop.
 *
 * <p>{@code keeper.acquire(claim, budgetMs).thenAccept(outcome -> ...);}
 *
 * @since 0.1
 */
public final class ClaimKeeper {
    private static final int LARGEST_ROW_BYTES = 65_536;
    private static final long RECORD_RETRY_MS = 200;
    private static final int MOST_PENDING = 10_000;
    private static final long OUTAGE_RETRY_AFTER_MS = 2000;

    private final String attemptPrefix;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger pending = new AtomicInteger();
    private final ClaimTable claims;
    private final BooleanSupplier tableSuspect;
    private final ObjectStore objects;
    private final ClaimWriter writer;
    private final ClaimWriter local;
    private final EventLoop loop;
    private final RetryAfter retryAfter;
    private final Metrics metrics;

    /** What the keeper works with. */
    public record Parts(
            String attemptPrefix,
            TableService table,
            BooleanSupplier tableSuspect,
            ObjectStore objects,
            EventLoop loop,
            RetryAfter retryAfter,
            Metrics metrics) {}

    ClaimKeeper(Parts parts, ClaimWriter writer, ClaimWriter local) {
        this.attemptPrefix = parts.attemptPrefix();
        this.claims = new ClaimTable(parts.table());
        this.tableSuspect = parts.tableSuspect();
        this.objects = parts.objects();
        this.writer = writer;
        this.local = local;
        this.loop = parts.loop();
        this.retryAfter = parts.retryAfter();
        this.metrics = parts.metrics();
    }

    /** Returns a claim that no attempt has made before. */
    public Claim newClaim(
            String workspace, String idempotencyKey, String fingerprint, long wallClockMs, long deadlineMs) {
        String attempt = attemptPrefix + "." + sequence.incrementAndGet();
        ClaimRow row = new ClaimRow(ClaimRow.State.CLAIMED, attempt, fingerprint, wallClockMs, deadlineMs, null, null);
        return new Claim(ClaimTable.key(workspace, idempotencyKey), row, 0);
    }

    /** Returns the recordings and abandonments that have not reached the table yet. */
    public int pending() {
        return pending.get();
    }

    /**
     * Asks for a key.
     *
     * @param claim the claim
     * @param budgetMs longest time until the answer, in ms
     * @return what the attempt got; always comes
     */
    public CompletableFuture<ClaimOutcome> acquire(Claim claim, long budgetMs) {
        if (tableSuspect.getAsBoolean()) {
            return CompletableFuture.completedFuture(tableUnavailable("the platform's table gives no answers"));
        }
        Acquisition acquisition = new Acquisition(claim, budgetMs);
        loop.execute(() -> acquisition.write(new ClaimDecision.Write(0, claim.row())));
        return acquisition.outcome;
    }

    private ClaimOutcome tableUnavailable(String detail) {
        return new ClaimOutcome.Refused(Reason.TABLE_UNAVAILABLE, detail, retryAfter.spreadMs(OUTAGE_RETRY_AFTER_MS));
    }

    /** One attempt's way to its key: write, on a conflict or a lost answer read, decide, write again. */
    private final class Acquisition {
        private final Claim claim;
        private final CompletableFuture<ClaimOutcome> outcome = new CompletableFuture<>();

        Acquisition(Claim claim, long budgetMs) {
            this.claim = claim;
            loop.schedule(this::giveUp, budgetMs, TimeUnit.MILLISECONDS);
        }

        void write(ClaimDecision.Write decision) {
            if (outcome.isDone()) {
                return;
            }
            ClaimRequest request = new ClaimRequest(claim.key(), decision.expectedVersion(), decision.row());
            writer.write(request).whenCompleteAsync((change, failure) -> written(change), loop);
        }

        private void written(ClaimChange change) {
            switch (change.result()) {
                case COMMITTED -> held(change.version());
                case CONFLICT -> decide(new ClaimTable.Versioned(change.version(), change.row()));
                case UNANSWERED -> readBack();
            }
        }

        private void held(long version) {
            boolean inTime = outcome.complete(new ClaimOutcome.Held(new Claim(claim.key(), claim.row(), version)));
            if (!inTime) {
                abandon(claim);
            }
        }

        private void readBack() {
            if (outcome.isDone()) {
                return;
            }
            metrics.claimReadBack();
            claims.read(claim.key())
                    .whenCompleteAsync(
                            (found, failure) -> {
                                if (failure == null) {
                                    decide(found);
                                } else {
                                    loop.schedule(this::readBack, RECORD_RETRY_MS, TimeUnit.MILLISECONDS);
                                }
                            },
                            loop);
        }

        private void decide(ClaimTable.Versioned found) {
            ClaimDecision decision =
                    ClaimProtocol.acquire(claim.row(), found.version(), found.row(), System.currentTimeMillis());
            if (decision instanceof ClaimDecision.Write write) {
                write(write);
            } else if (decision instanceof ClaimDecision.Run run) {
                held(run.version());
            } else if (decision instanceof ClaimDecision.Repeat repeat) {
                recorded(repeat.row());
            } else if (decision instanceof ClaimDecision.Held held) {
                refuseHeld(held.leftMs());
            } else {
                outcome.complete(new ClaimOutcome.Refused(
                        Reason.KEY_REUSED, "the idempotency key was used for another body", 0));
            }
        }

        private void refuseHeld(long leftMs) {
            ClaimOutcome.Refused refused = leftMs > 0
                    ? new ClaimOutcome.Refused(
                            Reason.CLAIM_HELD, "another attempt is running", retryAfter.spreadMs(leftMs / 2))
                    : new ClaimOutcome.Refused(
                            Reason.CLAIM_UNFINISHED, "an earlier attempt may have run and recorded no answer", 0);
            outcome.complete(refused);
        }

        private void recorded(ClaimRow row) {
            if (row.getAnswerObject() == null) {
                completeFrom(Json.write(row.getAnswer()));
                return;
            }
            objects.get(row.getAnswerObject()).whenComplete((content, failure) -> {
                if (failure == null) {
                    completeFrom(content);
                } else {
                    outcome.complete(unreadable());
                }
            });
        }

        private void completeFrom(byte[] recordedAnswer) {
            try {
                outcome.complete(new ClaimOutcome.Recorded(Json.read(recordedAnswer, Answer.class)));
            } catch (InvalidDocumentException e) {
                outcome.complete(unreadable());
            }
        }

        private ClaimOutcome unreadable() {
            String detail = "the request ran; its recorded answer can't be read now";
            return new ClaimOutcome.Refused(
                    Reason.ANSWER_UNREADABLE, detail, retryAfter.spreadMs(OUTAGE_RETRY_AFTER_MS));
        }

        private void giveUp() {
            boolean open = outcome.complete(tableUnavailable("the platform's table gave no definite answer in time"));
            if (open) {
                abandon(claim);
            }
        }
    }

    /**
     * Records the answer of a claim that is held.
     *
     * @param claim the claim
     * @param answer the answer
     * @return completes when the table holds the answer, however long that takes
     */
    public CompletableFuture<Void> record(Claim claim, Answer answer) {
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
        loop.execute(() -> storeThenRecord(claim, row, large ? bytes : null, done));
        return done;
    }

    private void storeThenRecord(Claim claim, ClaimRow row, byte[] content, CompletableFuture<Void> done) {
        if (content == null) {
            writeRecord(claim, row, done);
            return;
        }
        objects.put(row.getAnswerObject(), content)
                .whenCompleteAsync(
                        (stored, failure) -> {
                            if (failure == null) {
                                writeRecord(claim, row, done);
                            } else {
                                retryLater(() -> storeThenRecord(claim, row, content, done));
                            }
                        },
                        loop);
    }

    private void writeRecord(Claim claim, ClaimRow row, CompletableFuture<Void> done) {
        writer.write(new ClaimRequest(claim.key(), claim.version(), row))
                .whenCompleteAsync(
                        (change, failure) -> {
                            if (change.result() == ClaimChange.Result.UNANSWERED) {
                                retryLater(() -> writeRecord(claim, row, done));
                                return;
                            }
                            pending.decrementAndGet();
                            done.complete(null);
                        },
                        loop);
    }

    /**
     * Gives up a claim that was never run, so that another attempt can take the key and no late write can.
     *
     * @param claim the claim, held or not
     */
    public void abandon(Claim claim) {
        if (takePending()) {
            loop.execute(() -> tryAbandon(claim));
        }
    }

    private void tryAbandon(Claim claim) {
        claims.read(claim.key())
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null) {
                                retryLater(() -> tryAbandon(claim));
                                return;
                            }
                            ClaimDecision decision = ClaimProtocol.abandon(claim.row(), found.version(), found.row());
                            if (!(decision instanceof ClaimDecision.Write write)) {
                                pending.decrementAndGet();
                                return;
                            }
                            writer.write(new ClaimRequest(claim.key(), write.expectedVersion(), write.row()))
                                    .whenCompleteAsync(
                                            (change, lost) -> {
                                                if (change.result() == ClaimChange.Result.COMMITTED) {
                                                    metrics.claimAbandoned();
                                                    pending.decrementAndGet();
                                                } else {
                                                    retryLater(() -> tryAbandon(claim));
                                                }
                                            },
                                            loop);
                        },
                        loop);
    }

    /** Waits longer the more is pending, so that an outage's end brings no wave. */
    private void retryLater(Runnable action) {
        long spreadMs = RECORD_RETRY_MS + 2L * pending.get();
        loop.schedule(action, retryAfter.spreadMs(spreadMs), TimeUnit.MILLISECONDS);
    }

    private boolean takePending() {
        if (pending.incrementAndGet() <= MOST_PENDING) {
            return true;
        }
        pending.decrementAndGet();
        metrics.claimPendingOverflow();
        return false;
    }

    /** Commits a change that a peer forwarded. */
    public CompletableFuture<ClaimReply> commitForPeer(ClaimRequest request) {
        return local.write(request)
                .thenApply(change -> new ClaimReply(
                        ClaimReply.Result.valueOf(change.result().name()), change.version(), change.row()));
    }
}
