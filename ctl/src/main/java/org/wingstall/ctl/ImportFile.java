package org.wingstall.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.wingstall.core.config.ConfigKey;
import org.wingstall.core.config.ConfigRowValidator;
import org.wingstall.core.config.InvalidRowException;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.table.ConfigCell;
import org.wingstall.table.Edit;

/** A YAML file of rows: a list under each kind of row. */
final class ImportFile {
    private ImportFile() {}

    static List<Edit> read(String file) throws IOException, InvalidDocumentException, InvalidRowException {
        JsonNode tree = Json.readYaml(Files.readString(Path.of(file)));
        List<Edit> edits = new ArrayList<>();
        for (Iterator<String> kinds = tree.fieldNames(); kinds.hasNext(); ) {
            String kind = kinds.next();
            for (JsonNode row : tree.get(kind)) {
                ConfigKey key = ConfigKey.parse(kind + "/" + row.path("name").asText());
                ConfigRowValidator.validate(key, row);
                edits.add(new Edit.Row(key, row));
            }
        }
        return edits;
    }

    static String write(List<ConfigCell> cells) {
        ObjectNode tree = Json.MAPPER.createObjectNode();
        for (ConfigCell cell : cells) {
            String kind = cell.getKey().substring(0, cell.getKey().indexOf('/'));
            ArrayNode rows = tree.withArray("/" + kind);
            rows.add(cell.getValue());
        }
        try {
            return YAMLMapper.builder()
                    .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                    .build()
                    .writeValueAsString(tree);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
