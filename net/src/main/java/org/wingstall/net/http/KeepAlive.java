package org.wingstall.net.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how long the other side keeps an idle connection. */
final class KeepAlive {
    private static final Pattern SECONDS = Pattern.compile("(?:timeout=)?\\s*(\\d{1,6})");

    /** The header gives whole seconds, and its sender may close early by rounding and by the way of the close. */
    private static final long MARGIN_MS = 500;

    private KeepAlive() {}

    /** Returns the time in ms, less a margin; unbounded when the answer does not say. */
    static long idleMs(HttpHeaders headers) {
        String value = headers.get("keep-alive");
        if (value == null) {
            return ConnectionUse.ANY_IDLE_MS;
        }
        Matcher matcher = SECONDS.matcher(value);
        if (!matcher.find()) {
            return ConnectionUse.ANY_IDLE_MS;
        }
        return Math.max(0, TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(1))) - MARGIN_MS);
    }
}
