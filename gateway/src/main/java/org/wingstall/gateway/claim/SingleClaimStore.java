package org.wingstall.gateway.claim;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.gateway.Metrics;
import org.wingstall.platform.TableService;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.platform.Condition;
import org.wingstall.schema.platform.Transaction;
import org.wingstall.schema.platform.TransactionResult;
import org.wingstall.schema.platform.Write;

/** Commits each change in a transaction of its own; the baseline of the batches. */
final class SingleClaimStore implements ClaimStore {
    private final TableService table;
    private final BooleanSupplier tableUnheard;
    private final Metrics metrics;

    SingleClaimStore(TableService table, BooleanSupplier tableUnheard, Metrics metrics) {
        this.table = table;
        this.tableUnheard = tableUnheard;
        this.metrics = metrics;
    }

    @Override
    public boolean reachable() {
        return !tableUnheard.getAsBoolean();
    }

    @Override
    public CompletableFuture<ClaimTable.Versioned> read(String key) {
        return new ClaimTable(table).read(key);
    }

    @Override
    public CompletableFuture<ClaimChange> write(ClaimRequest request) {
        metrics.claimTransaction(1);
        Transaction transaction = new Transaction(
                List.of(new Condition(request.getKey(), request.getExpectedVersion())),
                List.of(new Write(request.getKey(), Json.toTree(request.getRow()))));
        return table.transact(transaction)
                .handle((result, failure) -> failure == null ? changeOf(result) : ClaimChange.unanswered());
    }

    private static ClaimChange changeOf(TransactionResult result) {
        if (result.isCommitted()) {
            return ClaimChange.committed(result.getVersions().get(0).getVersion());
        }
        ClaimTable.Versioned found = ClaimTable.versioned(result.getConflicts().get(0));
        return ClaimChange.conflict(found.version(), found.row());
    }
}
