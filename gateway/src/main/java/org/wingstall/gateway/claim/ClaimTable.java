package org.wingstall.gateway.claim;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.table.ClaimRow;
import org.wingstall.table.TableService;

/** Claims in the platform's table, as this box reaches it: where they lie and how to read them. */
final class ClaimTable {
    private static final String PREFIX = "claim/";

    private final TableService table;
    private final BooleanSupplier unheard;

    /** Creates the view; {@code unheard} tells whether the table gives this box no answers. */
    ClaimTable(TableService table, BooleanSupplier unheard) {
        this.table = table;
        this.unheard = unheard;
    }

    /** A claim row as the table holds it; the row is null when it is absent. */
    record Versioned(long version, ClaimRow row) {}

    static String key(String workspace, String idempotencyKey) {
        return PREFIX + workspace + "/" + idempotencyKey;
    }

    TableService rows() {
        return table;
    }

    boolean reachable() {
        return !unheard.getAsBoolean();
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
