package org.wingstall.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wingstall.schema.platform.Condition;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.platform.Transaction;
import org.wingstall.schema.platform.TransactionResult;
import org.wingstall.schema.platform.Write;

/**
 * The platform's transactional table.
 *
 * <p>Each answer ends with a value or a {@link PlatformException}. After a failed {@link #transact} the writes may have
 * taken effect, or may yet.
 *
 * <p>{@code table.read("config/revision").thenAccept(row -> ...);}
 *
 * @since 0.1
 */
public interface TableService {
    /** Reads one row; an absent row has version 0. */
    CompletableFuture<TableRow> read(String key);

    /**
     * Reads rows at one moment.
     *
     * @param prefix first part of their keys
     * @param afterKey key after which to begin; empty for the first
     * @return the rows in the order of their keys
     */
    CompletableFuture<List<TableRow>> scan(String prefix, String afterKey);

    /** Writes rows together if all conditions hold. */
    CompletableFuture<TransactionResult> transact(Transaction transaction);

    /**
     * Writes one row if it still has a version.
     *
     * @param key key of the row
     * @param expectedVersion version that it must have; 0 for an absent row
     * @param value the new row
     * @return what became of it
     */
    default CompletableFuture<TransactionResult> replace(String key, long expectedVersion, JsonNode value) {
        return transact(new Transaction(List.of(new Condition(key, expectedVersion)), List.of(new Write(key, value))));
    }
}
