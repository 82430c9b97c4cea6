package org.wingstall.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wingstall.schema.platform.Condition;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.platform.Transaction;
import org.wingstall.schema.platform.TransactionResult;
import org.wingstall.schema.platform.Write;

/** A table in memory; transactions are serial. */
final class TableStore {
    private final TreeMap<String, TableRow> rows = new TreeMap<>();
    private TreeMap<String, TableRow> snapshot = new TreeMap<>();
    private long lastVersion;

    /** Keeps the rows as they are now, for stale reads. */
    synchronized void takeSnapshot() {
        snapshot = new TreeMap<>(rows);
    }

    synchronized TableRow read(String key, boolean stale) {
        return (stale ? snapshot : rows).getOrDefault(key, new TableRow(key, null, 0));
    }

    synchronized int size() {
        return rows.size();
    }

    synchronized List<TableRow> scan(String prefix, String after, boolean stale) {
        TreeMap<String, TableRow> all = stale ? snapshot : rows;
        Map<String, TableRow> from = after.compareTo(prefix) > 0 ? all.tailMap(after, false) : all.tailMap(prefix);
        List<TableRow> found = new ArrayList<>();
        for (Map.Entry<String, TableRow> row : from.entrySet()) {
            if (!row.getKey().startsWith(prefix)) {
                break;
            }
            found.add(row.getValue());
        }
        return found;
    }

    synchronized TransactionResult transact(Transaction transaction) {
        List<TableRow> conflicts = new ArrayList<>();
        for (Condition condition : transaction.getConditions()) {
            TableRow row = read(condition.getKey(), false);
            if (row.getVersion() != condition.getVersion()) {
                conflicts.add(row);
            }
        }
        if (!conflicts.isEmpty()) {
            return new TransactionResult(false, conflicts, List.of());
        }
        List<TableRow> versions = new ArrayList<>();
        for (Write write : transaction.getWrites()) {
            versions.add(write(write));
        }
        return new TransactionResult(true, List.of(), versions);
    }

    private TableRow write(Write write) {
        if (write.getValue() == null || write.getValue().isNull()) {
            rows.remove(write.getKey());
            return new TableRow(write.getKey(), null, 0);
        }
        long version = ++lastVersion;
        rows.put(write.getKey(), new TableRow(write.getKey(), write.getValue(), version));
        return new TableRow(write.getKey(), null, version);
    }
}
