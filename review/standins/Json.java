import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : Map.of();
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value instanceof List ? (List<Object>) value : List.of();
    }

    static String text(Object value) {
        return value == null ? "" : value.toString();
    }

    static long number(Object value) {
        return value instanceof Number ? ((Number) value).longValue() : 0;
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        blanks();
        char first = text.charAt(at);
        if (first == '{') {
            return members();
        } else if (first == '[') {
            return elements();
        } else if (first == '"') {
            return string();
        } else if (text.startsWith("true", at)) {
            at += 4;
            return true;
        } else if (text.startsWith("false", at)) {
            at += 5;
            return false;
        } else if (text.startsWith("null", at)) {
            at += 4;
            return null;
        }
        int start = at;
        while (at < text.length() && "+-0123456789.eE".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        return Double.valueOf(text.substring(start, at));
    }

    private Map<String, Object> members() {
        Map<String, Object> members = new LinkedHashMap<>();
        at++;
        blanks();
        while (text.charAt(at) != '}') {
            blanks();
            String name = string();
            blanks();
            at++;
            members.put(name, value());
            blanks();
            if (text.charAt(at) == ',') {
                at++;
            }
            blanks();
        }
        at++;
        return members;
    }

    private List<Object> elements() {
        List<Object> elements = new ArrayList<>();
        at++;
        blanks();
        while (text.charAt(at) != ']') {
            elements.add(value());
            blanks();
            if (text.charAt(at) == ',') {
                at++;
            }
            blanks();
        }
        at++;
        return elements;
    }

    private String string() {
        StringBuilder string = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                string.append(next);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> string.append('\n');
                case 't' -> string.append('\t');
                case 'r' -> string.append('\r');
                case 'u' -> {
                    string.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> string.append(escaped);
            }
        }
        at++;
        return string.toString();
    }

    static String quote(String value) {
        return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
