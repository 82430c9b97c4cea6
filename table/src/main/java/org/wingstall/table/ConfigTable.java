package org.wingstall.table;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.table.ConfigCell;
import org.wingstall.schema.table.ConfigChange;

/**
 * Where the configuration lies in the platform's table, and how to read it.
 *
 * <p>{@code table.revision().thenAccept(revision -> ...);}
 *
 * @since 0.1
 */
public final class ConfigTable {
    static final String ROOT = "config/";
    static final String REVISION_KEY = ROOT + "revision";
    static final String CELL_PREFIX = ROOT + "cell/";
    static final String CHANGE_PREFIX = "config-change/";

    private final TableService table;

    /**
     * Creates the reader.
     *
     * @param table the platform's table
     */
    public ConfigTable(TableService table) {
        this.table = table;
    }

    /**
     * The whole configuration at one revision.
     *
     * @param revision the revision
     * @param cells every row
     */
    public record Complete(long revision, List<ConfigCell> cells) {}

    static String changeKey(long revision) {
        return CHANGE_PREFIX + String.format("%012d", revision);
    }

    static long revisionOf(TableRow row) {
        return row.getVersion() == 0 ? 0 : row.getValue().path("revision").asLong();
    }

    /** Reads the revision; 0 when there is no configuration. */
    public CompletableFuture<Long> revision() {
        return table.read(REVISION_KEY).thenApply(ConfigTable::revisionOf);
    }

    /** Reads the changes after a revision, in order. */
    public CompletableFuture<List<ConfigChange>> changesAfter(long revision) {
        return table.scan(CHANGE_PREFIX, changeKey(revision)).thenApply(ConfigTable::readChanges);
    }

    /** Reads every row and the revision at one moment. */
    public CompletableFuture<Complete> complete() {
        return table.scan(ROOT, "").thenApply(ConfigTable::readComplete);
    }

    private static Complete readComplete(List<TableRow> rows) {
        long revision = 0;
        List<ConfigCell> cells = new ArrayList<>();
        for (TableRow row : rows) {
            if (row.getKey().equals(REVISION_KEY)) {
                revision = revisionOf(row);
            } else if (row.getKey().startsWith(CELL_PREFIX)) {
                cells.add(new ConfigCell(row.getKey().substring(CELL_PREFIX.length()), row.getValue()));
            }
        }
        return new Complete(revision, cells);
    }

    private static List<ConfigChange> readChanges(List<TableRow> rows) {
        List<ConfigChange> changes = new ArrayList<>();
        for (TableRow row : rows) {
            try {
                changes.add(Json.convert(row.getValue(), ConfigChange.class));
            } catch (InvalidDocumentException e) {
                throw new CompletionException(
                        new PlatformException(PlatformException.Kind.REFUSED, row.getKey() + ": " + e.getMessage()));
            }
        }
        return changes;
    }
}
