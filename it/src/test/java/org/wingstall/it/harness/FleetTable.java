package org.wingstall.it.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.wingstall.core.config.ConfigKey;
import org.wingstall.core.config.InvalidRowException;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.HttpClient;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.table.ConfigEditor;
import org.wingstall.table.Edit;
import org.wingstall.table.EditConflictException;
import org.wingstall.table.HttpPlatform;
import org.wingstall.table.PlatformException;

/** Edits of a test fleet's table, as operators make them. */
public final class FleetTable {
    private final String platformAddress;

    FleetTable(String platformAddress) {
        this.platformAddress = platformAddress;
    }

    public ConfigEditor editor() {
        return editorAt(platformAddress);
    }

    public ConfigEditor editorAt(String address) {
        HttpPlatform client = new HttpPlatform(
                new HttpClient(),
                EventLoops.group("test", 1).next(),
                Addresses.parse(address),
                1000,
                System::nanoTime,
                () -> {});
        return new ConfigEditor(client, attempt -> Pauses.backOff(attempt));
    }

    public long set(String key, String column, String expected, String value)
            throws EditConflictException, PlatformException {
        return set(editor(), UUID.randomUUID().toString(), key, column, expected, value);
    }

    public long set(ConfigEditor editor, String editId, String key, String column, String expected, String value)
            throws EditConflictException, PlatformException {
        try {
            Edit edit = new Edit.Columns(
                    ConfigKey.parse(key),
                    Map.of(column, new Edit.Change(TestFleet.tree(expected), TestFleet.tree(value))));
            return editor.edit("test", editId, System.currentTimeMillis(), List.of(edit));
        } catch (InvalidRowException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Replaces a row, whatever it was. */
    public void overwrite(String key, String row) throws EditConflictException, PlatformException {
        overwrite(Map.of(key, row));
    }

    /** Replaces rows in one edit, whatever they were. */
    public void overwrite(Map<String, String> rows) throws EditConflictException, PlatformException {
        try {
            List<Edit> edits = new ArrayList<>();
            for (Map.Entry<String, String> row : rows.entrySet()) {
                edits.add(new Edit.Row(ConfigKey.parse(row.getKey()), TestFleet.tree(row.getValue())));
            }
            editor().edit("test", UUID.randomUUID().toString(), System.currentTimeMillis(), edits);
        } catch (InvalidRowException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    void importRows(String yaml) {
        try {
            List<Edit> edits = new ArrayList<>();
            JsonNode rows = Json.readYaml(yaml);
            rows.fieldNames().forEachRemaining(kind -> rows.get(kind).forEach(row -> edits.add(rowEdit(kind, row))));
            editor().edit("test", UUID.randomUUID().toString(), System.currentTimeMillis(), edits);
        } catch (InvalidDocumentException
                | InvalidRowException
                | EditConflictException
                | PlatformException
                | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static Edit rowEdit(String kind, JsonNode row) {
        try {
            return new Edit.Row(ConfigKey.parse(kind + "/" + row.path("name").asText()), row);
        } catch (InvalidRowException e) {
            throw new AssertionError(e);
        }
    }
}
