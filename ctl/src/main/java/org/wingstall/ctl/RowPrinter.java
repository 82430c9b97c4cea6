package org.wingstall.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.wingstall.schema.check.Json;

/** Prints rows of one kind. */
interface RowPrinter {
    void rows(String kind, List<JsonNode> rows);

    static RowPrinter of(String format, PrintStream out) {
        return switch (format) {
            case "csv" -> (kind, rows) -> csv(kind, rows, out);
            case "json" -> (kind, rows) -> rows.forEach(row -> out.println(Json.writeText(row)));
            default -> (kind, rows) -> text(kind, rows, out);
        };
    }

    private static List<List<String>> cells(String kind, List<JsonNode> rows) {
        Set<String> columns = new LinkedHashSet<>();
        rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
        List<List<String>> lines = new ArrayList<>();
        List<String> head = new ArrayList<>(columns);
        head.add(0, "kind");
        lines.add(head);
        for (JsonNode row : rows) {
            List<String> line = new ArrayList<>();
            line.add(kind);
            columns.forEach(column -> line.add(text(row.path(column))));
            lines.add(line);
        }
        return lines;
    }

    private static String text(JsonNode value) {
        if (value.isArray() && value.path(0).has("service")) {
            List<String> stages = new ArrayList<>();
            value.forEach(stage -> stages.add(
                    stage.path("service").asText() + (stage.path("repeatable").asBoolean(true) ? "" : "!")));
            return String.join(" > ", stages);
        }
        return value.isMissingNode() ? "" : value.asText(value.toString());
    }

    private static void text(String kind, List<JsonNode> rows, PrintStream out) {
        if (rows.isEmpty()) {
            return;
        }
        List<List<String>> lines = cells(kind, rows);
        int[] widths = new int[lines.get(0).size()];
        for (List<String> line : lines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        for (List<String> line : lines) {
            StringBuilder printed = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                printed.append(String.format("%-" + (widths[i] + 2) + "s", line.get(i)));
            }
            out.println(printed.toString().stripTrailing());
        }
    }

    private static void csv(String kind, List<JsonNode> rows, PrintStream out) {
        for (List<String> line : cells(kind, rows)) {
            out.println(String.join(",", line.stream().map(RowPrinter::quoted).toList()));
        }
    }

    private static String quoted(String cell) {
        boolean plain = !cell.matches("(?s).*[,\"\\n].*");
        return plain ? cell : "\"" + cell.replace("\"", "\"\"") + "\"";
    }
}
