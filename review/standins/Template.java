import java.util.List;
import java.util.Map;

/** Fills a text as the page on deploy files says: values, sections and inverted sections. */
final class Template {
    private Template() {}

    static String fill(String text, Map<String, Object> fields) {
        return fill(text, fields, fields, null);
    }

    private static String fill(String text, Map<String, Object> fields, Object entry, String key) {
        StringBuilder filled = new StringBuilder();
        int at = 0;
        while (true) {
            int open = text.indexOf("{{", at);
            if (open < 0) {
                return filled.append(text.substring(at)).toString();
            }
            filled.append(text, at, open);
            int close = text.indexOf("}}", open);
            String name = text.substring(open + 2, close);
            at = close + 2;
            if (name.startsWith("#") || name.startsWith("^")) {
                String path = name.substring(1);
                String end = "{{/" + path + "}}";
                int ends = text.indexOf(end, at);
                String inner = text.substring(at, ends);
                at = ends + end.length();
                filled.append(section(name.charAt(0) == '#', inner, value(path, fields, entry, key), fields));
            } else {
                Object value = value(name, fields, entry, key);
                filled.append(value == null ? "" : value);
            }
        }
    }

    private static String section(boolean wanted, String inner, Object value, Map<String, Object> fields) {
        boolean given = value != null && !Boolean.FALSE.equals(value);
        if (!wanted) {
            return given ? "" : fill(inner, fields, fields, null);
        }
        StringBuilder all = new StringBuilder();
        if (value instanceof Map<?, ?> table) {
            table.forEach((key, entry) -> all.append(fill(inner, fields, entry, key.toString())));
        } else if (value instanceof List<?> list) {
            list.forEach(entry -> all.append(fill(inner, fields, entry, "")));
        } else if (given) {
            all.append(fill(inner, fields, fields, null));
        }
        return all.toString();
    }

    private static Object value(String path, Map<String, Object> fields, Object entry, String key) {
        if (path.equals(".")) {
            return entry;
        } else if (path.equals("@")) {
            return key;
        }
        Object value = fields;
        for (String part : path.split("\\.")) {
            if (value instanceof Map<?, ?> table) {
                value = table.get(part);
            } else if (value instanceof List<?> list) {
                value = list.get(Integer.parseInt(part));
            } else {
                return null;
            }
        }
        return value;
    }
}
