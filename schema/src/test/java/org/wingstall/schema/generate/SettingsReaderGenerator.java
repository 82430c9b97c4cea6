package org.wingstall.schema.generate;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Writes the source of a reader for settings of one level from their schema.
 *
 * <p>{@code String source = SettingsReaderGenerator.source("RelaySettings", schema);}
 */
final class SettingsReaderGenerator {
    private SettingsReaderGenerator() {}

    static String source(String type, JsonNode schema) {
        List<String> values = new ArrayList<>();
        for (Map.Entry<String, JsonNode> property : schema.get("properties").properties()) {
            values.add("                " + value(property.getKey(), property.getValue(), schema.get("required")));
        }
        return String.join(
                "\n",
                "package org.wingstall.schema.settings;",
                "",
                "import java.util.Optional;",
                "import org.wingstall.schema.check.FlatDocument;",
                "",
                "/**",
                " * Reads valid settings without their schema; whatever else a document holds is left to the check.",
                " *",
                " * <p>Generated from " + type + ".json by GeneratedSourcesTest, see CONTRIBUTING.md.",
                " */",
                "public final class " + type + "Reader {",
                "    private " + type + "Reader() {}",
                "",
                "    /** Returns the settings; nothing when the document has to be checked against the schema. */",
                "    public static Optional<" + type + "> read(String yaml) {",
                "        FlatDocument document = FlatDocument.parse(yaml);",
                "        " + type + " settings = new " + type + "(",
                String.join(",\n", values) + ");",
                "        return document.fits() ? Optional.of(settings) : Optional.empty();",
                "    }",
                "}",
                "");
    }

    private static String value(String key, JsonNode rule, JsonNode required) {
        return switch (rule.path("type").asText()) {
            case "string" -> text(key, rule, required);
            case "number" -> number(key, rule);
            default -> throw new IllegalArgumentException(key + ": a reader takes texts and numbers only");
        };
    }

    private static String text(String key, JsonNode rule, JsonNode required) {
        boolean there = false;
        for (JsonNode name : required) {
            there |= name.asText().equals(key);
        }
        if (!rule.has("pattern") || !there && !rule.has("default")) {
            throw new IllegalArgumentException(
                    key + ": a reader takes texts with a pattern that are required or have a default");
        }
        String pattern = rule.get("pattern").asText().replace("\\", "\\\\");
        String otherwise = there ? "" : ", \"" + rule.get("default").asText() + "\"";
        return "document.text(\"" + key + "\", \"" + pattern + "\"" + otherwise + ")";
    }

    private static String number(String key, JsonNode rule) {
        String type = rule.get("existingJavaType").asText();
        String cast = type.equals("double") ? "" : "(" + type + ") ";
        return cast
                + "document.number(\"%s\", %s, %s, %s)"
                        .formatted(key, rule.get("minimum"), rule.get("maximum"), rule.get("default"));
    }
}
