package org.wingstall.schema.generate;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.wingstall.schema.check.Json;

/**
 * Writes the source of the format of peers' frames from their schemas: each message is an array of its properties, in the
 * schema's order, as {@code MessagePack} has them.
 *
 * <p>{@code String source = new FrameFormatGenerator().source();}
 */
final class FrameFormatGenerator {
    private static final String SCHEMAS = "/org/wingstall/schema/";
    private static final String FRAME = "peer/PeerFrame.json";

    /** Parts of a frame that hold rows of the table, which few boxes ever send; the mapper does them. */
    private static final Set<String> MAPPED = Set.of("configReply", "claimRequest", "claimReply");

    private final Map<String, JsonNode> types = new LinkedHashMap<>();
    private final Set<String> lists = new TreeSet<>();
    private final StringBuilder source = new StringBuilder();

    String source() throws IOException {
        collect(FRAME);
        StringBuilder methods = new StringBuilder();
        for (Map.Entry<String, JsonNode> type : types.entrySet()) {
            boolean frame = type.getKey().equals(FRAME);
            methods.append(frame ? frame(type.getValue()) : packer(type) + unpacker(type));
        }
        for (String element : lists) {
            methods.append(list(element));
        }
        line("package org.wingstall.peer.format;");
        line("");
        imports();
        line("");
        line("/**");
        line(
                " * Writes and reads the frames between gateways without reflection, byte for byte as {@code MessagePack} does.");
        line(" *");
        line(" * <p>Generated from PeerFrame.json by GeneratedSourcesTest, see CONTRIBUTING.md.");
        line(" */");
        line("public final class PeerFrameFormat implements FrameFormat<PeerFrame> {");
        line("    /** The format; it keeps no state. */");
        line("    public static final PeerFrameFormat INSTANCE = new PeerFrameFormat();");
        line("");
        line("    private static final FrameFormat<PeerFrame> BY_MAPPER = FrameFormat.mapped(PeerFrame.class);");
        line("");
        line("    private PeerFrameFormat() {}");
        source.append(methods);
        line("}");
        return source.toString();
    }

    private void line(String text) {
        source.append(text).append('\n');
    }

    private void imports() {
        Set<String> names = new TreeSet<>(List.of(
                "java.io.IOException",
                "java.io.UncheckedIOException",
                "java.util.List",
                "org.msgpack.core.MessageBufferPacker",
                "org.msgpack.core.MessagePack",
                "org.msgpack.core.MessagePackException",
                "org.msgpack.core.MessagePacker",
                "org.msgpack.core.MessageUnpacker",
                "org.wingstall.net.frame.FrameFormat",
                "org.wingstall.schema.check.InvalidDocumentException"));
        for (String file : types.keySet()) {
            names.add("org.wingstall.schema." + file.replace(".json", "").replace('/', '.'));
        }
        names.forEach(name -> line("import " + name + ";"));
    }

    private void collect(String file) throws IOException {
        if (types.containsKey(file)) {
            return;
        }
        JsonNode schema = schema(file);
        types.put(file, schema);
        for (Map.Entry<String, JsonNode> property : schema.get("properties").properties()) {
            JsonNode rule = property.getValue();
            JsonNode reference =
                    rule.has("$ref") ? rule.get("$ref") : rule.path("items").path("$ref");
            if (!reference.isMissingNode() && !MAPPED.contains(property.getKey())) {
                collect(resolved(reference.asText()));
            }
        }
    }

    private static JsonNode schema(String file) throws IOException {
        try (InputStream in = FrameFormatGenerator.class.getResourceAsStream(SCHEMAS + file)) {
            return Json.MAPPER.readTree(in);
        }
    }

    private static String resolved(String reference) {
        return reference.startsWith("../") ? reference.substring("../".length()) : "peer/" + reference;
    }

    private static String className(String file) {
        return file.substring(file.lastIndexOf('/') + 1).replace(".json", "");
    }

    private static String classOf(JsonNode reference) {
        return className(resolved(reference.asText()));
    }

    private static String getter(String name, JsonNode rule) {
        String prefix = rule.path("type").asText().equals("boolean") ? "is" : "get";
        return "value." + prefix + Character.toUpperCase(name.charAt(0)) + name.substring(1) + "()";
    }

    private String packer(Map.Entry<String, JsonNode> type) {
        JsonNode properties = type.getValue().get("properties");
        StringBuilder text = new StringBuilder("\n    private static void pack(MessagePacker out, "
                + className(type.getKey()) + " value) throws IOException {\n"
                + "        if (value == null) {\n            out.packNil();\n            return;\n        }\n");
        text.append("        out.packArrayHeader(").append(properties.size()).append(");\n");
        properties.properties().forEach(property -> text.append(pack(property.getKey(), property.getValue())));
        return text.append("    }\n").toString();
    }

    private String pack(String name, JsonNode rule) {
        String value = getter(name, rule);
        String call =
                switch (kind(rule)) {
                    case "text" -> "FrameValues.packText(out, " + value + ")";
                    case "enum" -> "FrameValues.packText(out, " + value + " == null ? null : " + value + ".value())";
                    case "texts" -> "FrameValues.packTexts(out, " + value + ")";
                    case "numbers" -> "FrameValues.packNumbers(out, " + value + ")";
                    case "longs" -> "FrameValues.packLongs(out, " + value + ")";
                    case "long" -> "out.packLong(" + value + ")";
                    case "int" -> "out.packInt(" + value + ")";
                    case "double" -> "out.packDouble(" + value + ")";
                    case "boolean" -> "out.packBoolean(" + value + ")";
                    case "message" -> "pack(out, " + value + ")";
                    default -> {
                        String element = classOf(rule.at("/items/$ref"));
                        lists.add(element);
                        yield "pack" + element + "List(out, " + value + ")";
                    }
                };
        return "        " + call + ";\n";
    }

    private String unpacker(Map.Entry<String, JsonNode> type) {
        String name = className(type.getKey());
        StringBuilder text = new StringBuilder("\n    private static " + name + " unpack" + name
                + "(MessageUnpacker in) throws IOException {\n"
                + "        if (in.tryUnpackNil()) {\n            return null;\n        }\n"
                + "        int left = in.unpackArrayHeader();\n");
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, JsonNode> property :
                type.getValue().get("properties").properties()) {
            names.add(property.getKey());
            text.append("        ")
                    .append(unpack(name, property.getKey(), property.getValue()))
                    .append('\n');
        }
        text.append("        FrameValues.skip(in, left);\n");
        text.append("        return new " + name + "(" + String.join(", ", names) + ");\n    }\n");
        return text.toString();
    }

    private static String unpack(String owner, String name, JsonNode rule) {
        String there = " = left-- > 0 ? ";
        return switch (kind(rule)) {
            case "text" -> "String " + name + there + "FrameValues.text(in) : null;";
            case "enum" -> {
                String type = owner + "." + Character.toUpperCase(name.charAt(0)) + name.substring(1);
                yield "String " + name + "Word" + there + "FrameValues.text(in) : null;\n        " + type + " " + name
                        + " = " + name + "Word == null ? null : " + type + ".fromValue(" + name + "Word);";
            }
            case "texts" -> "List<String> " + name + there + "FrameValues.texts(in) : null;";
            case "numbers" -> "List<Integer> " + name + there + "FrameValues.numbers(in) : null;";
            case "longs" -> "List<Long> " + name + there + "FrameValues.longs(in) : null;";
            case "long" -> "long " + name + there + "FrameValues.wholeNumber(in) : 0;";
            case "int" -> "int " + name + there + "FrameValues.smallNumber(in) : 0;";
            case "double" -> "double " + name + there + "FrameValues.number(in) : 0;";
            case "boolean" -> "boolean " + name + " = left-- > 0 && FrameValues.truth(in);";
            case "message" -> {
                String type = classOf(rule.get("$ref"));
                yield type + " " + name + there + "unpack" + type + "(in) : null;";
            }
            default -> {
                String type = classOf(rule.at("/items/$ref"));
                yield "List<" + type + "> " + name + there + "unpack" + type + "List(in) : null;";
            }
        };
    }

    private static String kind(JsonNode rule) {
        if (rule.has("$ref")) {
            return "message";
        }
        JsonNode items = rule.path("items");
        return switch (rule.get("type").asText()) {
            case "string" -> rule.has("enum") ? "enum" : "text";
            case "integer" -> rule.path("existingJavaType").asText("int");
            case "number" -> "double";
            case "boolean" -> "boolean";
            default -> items.has("$ref") ? "messages" : kindOfList(items);
        };
    }

    private static String kindOfList(JsonNode items) {
        boolean large = items.path("existingJavaType").asText().endsWith("Long");
        return items.get("type").asText().equals("string") ? "texts" : large ? "longs" : "numbers";
    }

    private static String list(String element) {
        return """

                    private static void pack%1$sList(MessagePacker out, List<%1$s> values) throws IOException {
                        if (values == null) {
                            out.packNil();
                            return;
                        }
                        out.packArrayHeader(values.size());
                        for (%1$s value : values) {
                            pack(out, value);
                        }
                    }

                    private static List<%1$s> unpack%1$sList(MessageUnpacker in) throws IOException {
                        if (in.tryUnpackNil()) {
                            return null;
                        }
                        int size = in.unpackArrayHeader();
                        List<%1$s> values = FrameValues.listFor(size);
                        for (int i = 0; i < size; i++) {
                            values.add(unpack%1$s(in));
                        }
                        return values;
                    }
                """
                .formatted(element);
    }

    private String frame(JsonNode schema) {
        StringBuilder mapped = new StringBuilder();
        StringBuilder packs = new StringBuilder();
        StringBuilder unpacks = new StringBuilder();
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, JsonNode> property : schema.get("properties").properties()) {
            String name = property.getKey();
            JsonNode rule = property.getValue();
            if (MAPPED.contains(name)) {
                mapped.append(mapped.isEmpty() ? "" : " || ")
                        .append(getter(name, rule))
                        .append(" != null");
                packs.append("            out.packNil();\n");
                unpacks.append("            if (left-- > 0 && !in.tryUnpackNil()) {\n"
                        + "                return BY_MAPPER.read(bytes);\n            }\n");
                names.add("null");
            } else {
                packs.append("    ").append(pack(name, rule));
                unpacks.append("            ")
                        .append(unpack("PeerFrame", name, rule))
                        .append('\n');
                names.add(name);
            }
        }
        return """

                    @Override
                    public byte[] write(PeerFrame value) {
                        if (%s) {
                            return BY_MAPPER.write(value);
                        }
                        try (MessageBufferPacker out = FrameValues.PACKERS.newBufferPacker()) {
                            out.packArrayHeader(%d);
                %s            return out.toByteArray();
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    }

                    @Override
                    public PeerFrame read(byte[] bytes) throws InvalidDocumentException {
                        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
                            int left = in.unpackArrayHeader();
                %s            return new PeerFrame(%s);
                        } catch (IOException | MessagePackException | IllegalArgumentException e) {
                            throw new InvalidDocumentException("PeerFrame", e.getMessage(), "MessagePack of its schema");
                        }
                    }
                """
                .formatted(mapped, names.size(), packs, unpacks, String.join(", ", names));
    }
}
