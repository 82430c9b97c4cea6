package org.wingstall.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.wingstall.core.config.ConfigRowValidator;
import org.wingstall.core.config.InvalidRowException;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.settings.GatewaySettings;
import org.wingstall.schema.settings.RelaySettings;
import org.wingstall.table.Edit;

/** Checks a file without using it: a gateway's settings, a relay's settings, or rows to import. */
final class ConfigCheck {
    private ConfigCheck() {}

    static void check(String file, PrintStream out) throws IOException, InvalidDocumentException, InvalidRowException {
        JsonNode tree = Json.readYaml(Files.readString(Path.of(file)));
        if (tree.has("storeAddress")) {
            SchemaCheck.of(RelaySettings.class).read(tree);
            out.println("valid settings of a relay");
            return;
        }
        if (tree.has("boxId")) {
            SchemaCheck.of(GatewaySettings.class).read(tree);
            out.println("valid settings of a gateway");
            return;
        }
        Map<String, JsonNode> rows = new HashMap<>();
        for (Edit edit : ImportFile.read(file)) {
            rows.put(edit.key().toString(), ((Edit.Row) edit).value());
        }
        ConfigRowValidator.validateConsistency(rows);
        out.println("valid rows: " + rows.size());
    }
}
