package org.wingstall.core.config;

import java.util.Arrays;
import java.util.List;

/**
 * Identifies a configuration row by its kind and its name.
 *
 * <p>{@code ConfigKey.parse("pipeline/menu-plan").name()} is {@code "menu-plan"}.
 *
 * @param kind kind of the row
 * @param name name of the row
 * @since 0.1
 */
public record ConfigKey(Kind kind, String name) {
    /** Kinds of configuration rows. */
    public enum Kind {
        /** A pipeline. */
        PIPELINE("pipeline"),
        /** A workspace. */
        WORKSPACE("workspace"),
        /** A class of boxes that run endpoints. */
        BOX_CLASS("box-class"),
        /** The model and adapters that the engines of a service should have loaded. */
        ENGINE("engine");

        private final String prefix;

        Kind(String prefix) {
            this.prefix = prefix;
        }

        /** Returns the prefix of keys of this kind, without the slash. */
        public String prefix() {
            return prefix;
        }
    }

    /**
     * Parses a key.
     *
     * @param text key such as {@code pipeline/menu-plan}
     * @return the key
     * @throws InvalidRowException if the text is not a valid key
     */
    public static ConfigKey parse(String text) throws InvalidRowException {
        int slash = text.indexOf('/');
        String prefix = slash < 0 ? text : text.substring(0, slash);
        String name = slash < 0 ? "" : text.substring(slash + 1);
        for (Kind kind : Kind.values()) {
            if (kind.prefix.equals(prefix) && !name.isEmpty()) {
                return new ConfigKey(kind, name);
            }
        }
        List<String> prefixes = Arrays.stream(Kind.values()).map(Kind::prefix).toList();
        throw new InvalidRowException(text, "key", text, "one of " + prefixes + ", a slash and a name");
    }

    @Override
    public String toString() {
        return kind.prefix + "/" + name;
    }
}
