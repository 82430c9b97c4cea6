package org.wingstall.standin.fleet;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.wingstall.schema.check.InvalidDocumentException;

/**
 * The target of a call to the store. One that RFC 3986 doesn't allow is refused, as are unknown and repeated parameters.
 *
 * <p>{@code StoreQuery.parse("/v1/rows-get?table=op").text("table")} is {@code op}.
 */
final class StoreQuery {
    private static final Pattern TARGET = Pattern.compile("/(?:[A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*");

    private static final Set<String> PARAMETERS =
            Set.of("table", "part", "source", "target_version", "limit", "after_revision", "wait_ms");

    /** Longest key, in bytes. */
    private static final int MOST_KEY_BYTES = 200;

    private final String path;
    private final Map<String, List<String>> parameters;

    private StoreQuery(String path, Map<String, List<String>> parameters) {
        this.path = path;
        this.parameters = parameters;
    }

    static StoreQuery parse(String target) throws InvalidDocumentException {
        if (!TARGET.matcher(target).matches()) {
            throw new InvalidDocumentException("target", target, "a path and a query by RFC 3986");
        }
        QueryStringDecoder decoder = new QueryStringDecoder(target);
        for (Map.Entry<String, List<String>> parameter : decoder.parameters().entrySet()) {
            if (!PARAMETERS.contains(parameter.getKey()) || parameter.getValue().size() > 1) {
                throw new InvalidDocumentException(parameter.getKey(), target, "a known parameter, once");
            }
        }
        StoreQuery query = new StoreQuery(decoder.path(), decoder.parameters());
        if (query.text("source").getBytes(StandardCharsets.UTF_8).length > MOST_KEY_BYTES) {
            throw new InvalidDocumentException("source", target, "a key of at most " + MOST_KEY_BYTES + " bytes");
        }
        return query;
    }

    String path() {
        return path;
    }

    /** Returns the value of a parameter; empty if it is not given. */
    String text(String name) {
        return parameters.getOrDefault(name, List.of("")).get(0);
    }

    /** Returns the value of a parameter that is a whole number, or the default. */
    long whole(String name, long otherwise) throws InvalidDocumentException {
        String text = text(name);
        if (text.isEmpty()) {
            return otherwise;
        }
        if (!text.matches("[0-9]{1,18}")) {
            throw new InvalidDocumentException(name, text, "a whole number from 0 up");
        }
        return Long.parseLong(text);
    }
}
