package org.wingstall.gateway.claim;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.claim.ClaimProtocol;
import org.wingstall.gateway.Metrics;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.table.ClaimRow;
import org.wingstall.table.ObjectStore;
import org.wingstall.table.TableService;

/**
 * Takes, records and gives up claims by the rules of {@link ClaimProtocol}, on the control loop.
 *
 * <p>{@code keeper.acquire(claim, budgetMs).thenAccept(outcome -> ...);}
 *
 * @since 0.1
 */
public final class ClaimKeeper {
    static final long OUTAGE_RETRY_AFTER_MS = 2000;

    private final AtomicLong sequence = new AtomicLong();
    private final Parts parts;
    private final ClaimStore store;
    private final ClaimStore local;
    private final ClaimSettlements settlements;

    /** What the keeper works with. */
    public record Parts(
            String attemptPrefix,
            TableService table,
            BooleanSupplier tableUnheard,
            ObjectStore objects,
            EventLoop loop,
            RetryAfter retryAfter,
            Metrics metrics) {
        ClaimOutcome tableUnavailable(String detail) {
            return new ClaimOutcome.Refused(
                    Reason.TABLE_UNAVAILABLE, detail, retryAfter.jitteredMs(OUTAGE_RETRY_AFTER_MS));
        }
    }

    ClaimKeeper(Parts parts, ClaimStore store, ClaimStore local) {
        this.parts = parts;
        this.store = store;
        this.local = local;
        this.settlements = new ClaimSettlements(parts, store);
    }

    /** Returns a claim that no attempt has made before. */
    public Claim newClaim(
            String workspace, String idempotencyKey, String fingerprint, long wallClockMs, long deadlineMs) {
        String attempt = parts.attemptPrefix() + "." + sequence.incrementAndGet();
        ClaimRow row = new ClaimRow(ClaimRow.State.CLAIMED, attempt, fingerprint, wallClockMs, deadlineMs, null, null);
        return new Claim(ClaimTable.key(workspace, idempotencyKey), row, 0);
    }

    /** Returns the recordings and abandonments that have not reached the table yet. */
    public int pending() {
        return settlements.pending();
    }

    /**
     * Asks for a key.
     *
     * @param claim the claim
     * @param budgetMs longest time until the answer, in ms
     * @return what the attempt got; always comes
     */
    public CompletableFuture<ClaimOutcome> acquire(Claim claim, long budgetMs) {
        if (!store.reachable()) {
            ClaimOutcome refused = parts.tableUnavailable("the platform's table gives no answers");
            return CompletableFuture.completedFuture(refused);
        }
        return new ClaimAcquisition(parts, store, claim, settlements::abandon).begin(budgetMs);
    }

    /**
     * Records the answer of a claim that is held.
     *
     * @param claim the claim
     * @param answer the answer
     * @return completes when the table holds the answer, however long that takes
     */
    public CompletableFuture<Void> record(Claim claim, Answer answer) {
        return settlements.record(claim, answer);
    }

    /**
     * Gives up a claim that was never run, so that another attempt can take the key and no late write can.
     *
     * @param claim the claim, held or not
     */
    public void abandon(Claim claim) {
        settlements.abandon(claim);
    }

    /** Commits a change that a peer forwarded, or reads a row for it. */
    public CompletableFuture<ClaimReply> commitForPeer(ClaimRequest request) {
        if (request.getRow() == null) {
            return readForPeer(request.getKey());
        }
        return local.write(request)
                .thenApply(change -> new ClaimReply(
                        ClaimReply.Result.valueOf(change.result().name()), change.version(), change.row()));
    }

    private CompletableFuture<ClaimReply> readForPeer(String key) {
        return local.read(key)
                .handle((found, failure) -> failure == null
                        ? new ClaimReply(ClaimReply.Result.CONFLICT, found.version(), found.row())
                        : new ClaimReply(ClaimReply.Result.UNANSWERED, 0, null));
    }
}
