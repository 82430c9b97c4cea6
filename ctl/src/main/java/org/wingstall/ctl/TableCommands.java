package org.wingstall.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import net.sourceforge.argparse4j.inf.Namespace;
import org.wingstall.core.config.ConfigKey;
import org.wingstall.core.config.InvalidRowException;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.table.ConfigCell;
import org.wingstall.schema.table.ConfigChange;
import org.wingstall.table.ConfigEditor;
import org.wingstall.table.ConfigTable;
import org.wingstall.table.Edit;
import org.wingstall.table.EditConflictException;
import org.wingstall.table.HttpPlatform;
import org.wingstall.table.PlatformException;

/** The commands on the table. */
final class TableCommands {
    private static final int ROWS_IN_EDIT = 200;
    private static final int BACKOFF_MS = 50;

    private final Namespace options;
    private final ConfigTable table;
    private final ConfigEditor editor;

    TableCommands(Namespace options, HttpPlatform platform) {
        this.options = options;
        this.table = new ConfigTable(platform);
        this.editor = new ConfigEditor(platform, TableCommands::backOff);
    }

    private static void backOff(int attempt) {
        if (attempt > 0) {
            long ms = BACKOFF_MS + ThreadLocalRandom.current().nextLong((long) BACKOFF_MS * attempt);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
        }
    }

    void show(PrintStream out) throws PlatformException, InterruptedException {
        String wanted = options.getString("kind");
        ConfigTable.Complete complete = ConfigEditor.await(table.complete());
        Map<String, List<JsonNode>> byKind = new LinkedHashMap<>();
        for (ConfigCell cell : complete.cells()) {
            String kind = cell.getKey().substring(0, cell.getKey().indexOf('/'));
            if (wanted == null || wanted.equals(kind)) {
                byKind.computeIfAbsent(kind, key -> new ArrayList<>()).add(cell.getValue());
            }
        }
        RowPrinter printer = RowPrinter.of(options.getString("format"), out);
        byKind.forEach(printer::rows);
    }

    void set(PrintStream out)
            throws UsageException, InvalidRowException, EditConflictException, PlatformException, InterruptedException {
        ConfigKey key = ConfigKey.parse(options.getString("key"));
        Map<String, JsonNode> values = assignments(options.getList("assignment"));
        Map<String, JsonNode> expected = assignments(options.getList("expect"));
        JsonNode row = find(key);
        Map<String, Edit.Change> changes = new LinkedHashMap<>();
        values.forEach((column, value) -> {
            JsonNode before = row.has(column) ? row.get(column) : NullNode.getInstance();
            changes.put(column, new Edit.Change(expected.getOrDefault(column, before), value));
        });
        edit(out, List.of(new Edit.Columns(key, changes)));
    }

    private JsonNode find(ConfigKey key) throws PlatformException, InterruptedException {
        for (ConfigCell cell : ConfigEditor.await(table.complete()).cells()) {
            if (cell.getKey().equals(key.toString())) {
                return cell.getValue();
            }
        }
        return NullNode.getInstance();
    }

    private static Map<String, JsonNode> assignments(List<String> texts) throws UsageException {
        Map<String, JsonNode> values = new LinkedHashMap<>();
        for (String text : texts) {
            int equals = text.indexOf('=');
            if (equals < 1) {
                throw new UsageException("'" + text + "' is not valid; valid: column=value");
            }
            values.put(text.substring(0, equals), value(text.substring(equals + 1)));
        }
        return values;
    }

    private static JsonNode value(String text) {
        try {
            return Json.MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return TextNode.valueOf(text);
        }
    }

    void remove(PrintStream out)
            throws InvalidRowException, NotFoundException, EditConflictException, PlatformException,
                    InterruptedException {
        ConfigKey key = ConfigKey.parse(options.getString("key"));
        if (find(key).isNull()) {
            throw new NotFoundException(key + " does not exist");
        }
        edit(out, List.of(new Edit.Row(key, NullNode.getInstance())));
    }

    void importFile(PrintStream out)
            throws InvalidDocumentException, InvalidRowException, EditConflictException, PlatformException, IOException,
                    InterruptedException {
        List<Edit> edits = ImportFile.read(options.getString("file"));
        for (int from = 0; from < edits.size(); from += ROWS_IN_EDIT) {
            edit(out, edits.subList(from, Math.min(edits.size(), from + ROWS_IN_EDIT)));
        }
    }

    private void edit(PrintStream out, List<Edit> edits)
            throws InvalidRowException, EditConflictException, PlatformException, InterruptedException {
        String editId = UUID.randomUUID().toString();
        long revision = editor.edit(options.getString("operator"), editId, System.currentTimeMillis(), edits);
        out.println("accepted as revision " + revision);
    }

    void export(PrintStream out) throws PlatformException, InterruptedException {
        out.print(ImportFile.write(ConfigEditor.await(table.complete()).cells()));
    }

    void history(PrintStream out) throws PlatformException, InterruptedException {
        long revision = ConfigEditor.await(table.revision());
        long since = Math.max(0, revision - options.getInt("last"));
        List<JsonNode> rows = new ArrayList<>();
        for (ConfigChange change : ConfigEditor.await(table.changesAfter(since))) {
            rows.add(Json.MAPPER
                    .createObjectNode()
                    .put("revision", change.getRevision())
                    .put(
                            "accepted",
                            java.time.Instant.ofEpochMilli(change.getAcceptedAtMs())
                                    .toString())
                    .put("operator", change.getOperator())
                    .put(
                            "rows",
                            String.join(
                                    " ",
                                    change.getChanges().stream()
                                            .map(ConfigCell::getKey)
                                            .toList())));
        }
        RowPrinter.of(options.getString("format"), out).rows("history", rows);
    }
}
