package org.wingstall.gateway.claim;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.core.claim.ClaimDecision;
import org.wingstall.core.claim.ClaimProtocol;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.table.ClaimRow;

/** One attempt's way to its key: write, on a conflict or a lost answer read, decide, write again. */
final class ClaimAcquisition {
    private static final long READ_AGAIN_MS = 200;

    private final ClaimKeeper.Parts parts;
    private final ClaimStore store;
    private final Claim claim;
    private final Consumer<Claim> abandon;
    private final CompletableFuture<ClaimOutcome> outcome = new CompletableFuture<>();

    /** Creates the way of one claim; a claim that may be held too late is handed to {@code abandon}. */
    ClaimAcquisition(ClaimKeeper.Parts parts, ClaimStore store, Claim claim, Consumer<Claim> abandon) {
        this.parts = parts;
        this.store = store;
        this.claim = claim;
        this.abandon = abandon;
    }

    /** Begins, on the control loop; the outcome comes within the budget. */
    CompletableFuture<ClaimOutcome> begin(long budgetMs) {
        parts.loop().schedule(this::giveUp, budgetMs, TimeUnit.MILLISECONDS);
        parts.loop().execute(() -> write(new ClaimDecision.Write(0, claim.row())));
        return outcome;
    }

    private void write(ClaimDecision.Write decision) {
        if (outcome.isDone()) {
            return;
        }
        ClaimRequest request = new ClaimRequest(claim.key(), decision.expectedVersion(), decision.row());
        store.write(request).whenCompleteAsync((change, failure) -> written(change), parts.loop());
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
            abandon.accept(claim);
        }
    }

    private void readBack() {
        if (outcome.isDone()) {
            return;
        }
        parts.metrics().claimReadBack();
        store.read(claim.key())
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure == null) {
                                decide(found);
                            } else {
                                parts.loop().schedule(this::readBack, READ_AGAIN_MS, TimeUnit.MILLISECONDS);
                            }
                        },
                        parts.loop());
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
            refuseHeld(held.remainingMs());
        } else {
            outcome.complete(
                    new ClaimOutcome.Refused(Reason.KEY_REUSED, "the idempotency key was used for another body", 0));
        }
    }

    private void refuseHeld(long leftMs) {
        ClaimOutcome.Refused refused = leftMs > 0
                ? new ClaimOutcome.Refused(
                        Reason.CLAIM_HELD,
                        "another attempt is running",
                        parts.retryAfter().jitteredMs(leftMs / 2))
                : new ClaimOutcome.Refused(
                        Reason.CLAIM_UNFINISHED, "an earlier attempt may have run and recorded no answer", 0);
        outcome.complete(refused);
    }

    private void recorded(ClaimRow row) {
        if (row.getAnswerObject() == null) {
            completeFrom(Json.write(row.getAnswer()));
            return;
        }
        parts.objects().get(row.getAnswerObject()).whenComplete((content, failure) -> {
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
                Reason.ANSWER_UNREADABLE, detail, parts.retryAfter().jitteredMs(ClaimKeeper.OUTAGE_RETRY_AFTER_MS));
    }

    private void giveUp() {
        boolean open = outcome.complete(parts.tableUnavailable("the platform's table gave no definite answer in time"));
        if (open) {
            abandon.accept(claim);
        }
    }
}
