package org.wingstall.net.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Recognises an answer that was cut off inside a line and is followed by another one: the status line of the second ends
 * that line, and its headers seem to belong to the status of the first.
 */
final class JoinedAnswers {
    private static final String NAME = "HTTP";
    private static final String PROTOCOL = NAME + "/";
    private static final Pattern STATUS_LINE = Pattern.compile(PROTOCOL + "\\d\\.\\d +\\d{3}");

    private JoinedAnswers() {}

    /** Returns whether a line of a head, or of the trailer after a body, contains the status line of another answer. */
    static boolean in(HttpObject part) {
        if (part instanceof HttpResponse head) {
            return !NAME.equals(head.protocolVersion().protocolName())
                    || containsStatusLine(head.status().reasonPhrase())
                    || in(head.headers());
        }
        return part instanceof LastHttpContent last && in(last.trailingHeaders());
    }

    /**
     * Returns whether the length of a body took the start of another answer as its rest.
     *
     * @param body the body
     * @param following the bytes that came behind it
     */
    static boolean in(byte[] body, String following) {
        Matcher statusLine = STATUS_LINE.matcher(new String(body, StandardCharsets.ISO_8859_1) + following);
        return statusLine.find() && statusLine.start() < body.length;
    }

    private static boolean in(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
