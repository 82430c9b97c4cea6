package org.wingstall.table;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.wingstall.core.config.ConfigKey;
import org.wingstall.core.config.ConfigRowValidator;
import org.wingstall.core.config.InvalidRowException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.platform.Condition;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.platform.Transaction;
import org.wingstall.schema.platform.TransactionResult;
import org.wingstall.schema.platform.Write;
import org.wingstall.schema.table.ConfigCell;
import org.wingstall.schema.table.ConfigChange;

/**
 * Edits the configuration by compare-and-set; for clients that may wait, such as the command line.
 *
 * <p>An edit whose answer is lost is sent again under its own identifier until its fate is known, so it takes effect at
 * most once.
 *
 * <p>{@code long revision = editor.edit("ann", editId, nowMs, edits);}
 *
 * @since 0.1
 */
public final class ConfigEditor {
    private static final int MOST_TRIES = 40;

    private final TableService table;
    private final ConfigTable config;
    private final Pause pause;

    /** Waits between two tries. */
    @FunctionalInterface
    public interface Pause {
        /** Waits before the try of the number. */
        void before(int attempt) throws InterruptedException;
    }

    /**
     * Creates an editor.
     *
     * @param table the platform's table
     * @param pause waits between two tries
     */
    public ConfigEditor(TableService table, Pause pause) {
        this.table = table;
        this.config = new ConfigTable(table);
        this.pause = pause;
    }

    /**
     * Makes an edit.
     *
     * @param operator who makes it
     * @param editId identifier, unique for ever
     * @param nowMs wall-clock time, in ms since 1970
     * @param edits rows to change together
     * @return the revision that the edit made
     * @throws InvalidRowException if a new row is not valid
     * @throws EditConflictException if a row or column no longer has the expected value
     * @throws PlatformException if the platform gave no definite answer
     * @throws InterruptedException if the caller was interrupted
     */
    public long edit(String operator, String editId, long nowMs, List<Edit> edits)
            throws InvalidRowException, EditConflictException, PlatformException, InterruptedException {
        PlatformException last = null;
        for (int attempt = 0; attempt < MOST_TRIES; attempt++) {
            pause.before(attempt);
            try {
                Long revision = tryOnce(operator, editId, nowMs, edits);
                if (revision != null) {
                    return revision;
                }
            } catch (PlatformException e) {
                last = e;
            }
        }
        throw last != null ? last : new PlatformException(PlatformException.Kind.REFUSED, "too many racing edits");
    }

    private Long tryOnce(String operator, String editId, long nowMs, List<Edit> edits)
            throws InvalidRowException, EditConflictException, PlatformException, InterruptedException {
        TableRow counter = await(table.read(ConfigTable.REVISION_KEY));
        long revision = ConfigTable.revisionOf(counter);
        Long before = alreadyMade(editId, revision);
        if (before != null) {
            return before;
        }
        Map<String, TableRow> rows = new HashMap<>();
        for (Edit edit : edits) {
            rows.put(edit.key().toString(), await(table.read(ConfigTable.CELL_PREFIX + edit.key())));
        }
        List<ConfigCell> cells = apply(edits, rows);
        checkAcrossRows(cells);
        Transaction transaction = transactionOf(operator, editId, nowMs, cells, counter, rows);
        TransactionResult result = await(table.transact(transaction));
        return result.isCommitted() ? revision + 1 : null;
    }

    /** Looks the edit up in the change log, where it stands if an answer to it was lost. */
    private Long alreadyMade(String editId, long revision) throws PlatformException, InterruptedException {
        long since = Math.max(0, revision - MOST_TRIES * 4L);
        for (ConfigChange change : await(config.changesAfter(since))) {
            if (change.getEditId().equals(editId)) {
                return change.getRevision();
            }
        }
        return null;
    }

    private static List<ConfigCell> apply(List<Edit> edits, Map<String, TableRow> rows) throws EditConflictException {
        List<ConfigCell> cells = new ArrayList<>();
        for (Edit edit : edits) {
            JsonNode found = rows.get(edit.key().toString()).getValue();
            JsonNode value = edit.apply(found == null ? NullNode.getInstance() : found);
            cells.add(new ConfigCell(edit.key().toString(), value.isNull() ? null : value));
        }
        return cells;
    }

    private void checkAcrossRows(List<ConfigCell> cells)
            throws InvalidRowException, PlatformException, InterruptedException {
        for (ConfigCell cell : cells) {
            if (cell.getValue() != null) {
                ConfigRowValidator.validate(ConfigKey.parse(cell.getKey()), cell.getValue());
            }
        }
        Map<String, JsonNode> all = new HashMap<>();
        for (ConfigCell cell : await(config.complete()).cells()) {
            all.put(cell.getKey(), cell.getValue());
        }
        for (ConfigCell cell : cells) {
            all.put(cell.getKey(), cell.getValue());
        }
        ConfigRowValidator.validateConsistency(all);
    }

    private static Transaction transactionOf(
            String operator,
            String editId,
            long nowMs,
            List<ConfigCell> cells,
            TableRow counter,
            Map<String, TableRow> rows) {
        long next = ConfigTable.revisionOf(counter) + 1;
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        conditions.add(new Condition(ConfigTable.REVISION_KEY, counter.getVersion()));
        writes.add(new Write(
                ConfigTable.REVISION_KEY, Json.MAPPER.createObjectNode().put("revision", next)));
        for (ConfigCell cell : cells) {
            String key = ConfigTable.CELL_PREFIX + cell.getKey();
            conditions.add(new Condition(key, rows.get(cell.getKey()).getVersion()));
            writes.add(new Write(key, cell.getValue()));
        }
        ConfigChange change = new ConfigChange(next, editId, operator, nowMs, cells);
        conditions.add(new Condition(ConfigTable.changeKey(next), 0));
        writes.add(new Write(ConfigTable.changeKey(next), Json.toTree(change)));
        return new Transaction(conditions, writes);
    }

    /**
     * Waits for an answer of the platform.
     *
     * @param future the answer
     * @param <T> its type
     * @return the answer
     * @throws PlatformException if there is none
     * @throws InterruptedException if the caller was interrupted
     */
    public static <T> T await(CompletableFuture<T> future) throws PlatformException, InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw HttpPlatform.unwrap(e.getCause());
        }
    }
}
