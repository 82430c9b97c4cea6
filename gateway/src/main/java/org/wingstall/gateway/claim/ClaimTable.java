package org.wingstall.gateway.claim;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.wingstall.platform.TableService;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.table.ClaimRow;

/** Where claims lie in the platform's table, and how to read them. */
final class ClaimTable {
    private static final String PREFIX = "claim/";

    private final TableService table;

    ClaimTable(TableService table) {
        this.table = table;
    }

    /** A claim row as the table holds it; the row is null when it is absent. */
    record Versioned(long version, ClaimRow row) {}

    static String key(String workspace, String idempotencyKey) {
        return PREFIX + workspace + "/" + idempotencyKey;
    }

    CompletableFuture<Versioned> read(String key) {
        return table.read(key).thenApply(ClaimTable::versioned);
    }

    static Versioned versioned(TableRow row) {
        if (row.getVersion() == 0) {
            return new Versioned(0, null);
        }
        try {
            return new Versioned(row.getVersion(), Json.convert(row.getValue(), ClaimRow.class));
        } catch (InvalidDocumentException e) {
            throw new CompletionException(e);
        }
    }
}
