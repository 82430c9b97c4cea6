package org.wingstall.net.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.HashSet;
import java.util.Set;

/**
 * The requests of one connection, by which an answer that comes once more is told from the one that is due.
 *
 * <p>A connection carries one request at a time and is kept only after a whole answer, so every request but the last one
 * has been answered. Confined to the event loop of the connection.
 */
final class AnsweredRequests {
    /** Requests after which a connection is not kept, so that it has few identifiers to remember. */
    private static final int MAX_REQUESTS = 256;

    private final Set<String> sent = new HashSet<>();
    private final Set<String> repeated = new HashSet<>();
    private String last;
    private boolean answersHaveBodies = true;

    /** Returns whether answers to a request with this identifier can be told from those to all earlier ones. */
    boolean tellsApart(String identifier) {
        return identifier == null || sent.size() < MAX_REQUESTS && !sent.contains(identifier);
    }

    /** Returns the number of requests with an identifier that were sent. */
    int count() {
        return sent.size();
    }

    void add(String identifier, String method) {
        last = identifier;
        if (identifier != null) {
            sent.add(identifier);
        }
        // The decoder takes the method of the last request to decide whether an answer has a body.
        if (HttpMethod.HEAD.name().equals(method) || HttpMethod.CONNECT.name().equals(method)) {
            answersHaveBodies = false;
        }
    }

    /**
     * Takes an answer that may repeat the one to an earlier request. It can be skipped if its framing shows its end and the
     * connection goes on; each request can be answered once more at most.
     *
     * @param identifier identifier that the answer carries; null for none
     * @param head head of the answer
     * @return whether the answer is such a repetition, and the answer to the last request is still due
     */
    boolean tryRepeat(String identifier, HttpResponse head) {
        return answersHaveBodies
                && identifier != null
                && !identifier.equals(last)
                && sent.contains(identifier)
                && HttpUtil.isKeepAlive(head)
                && BodyEnd.of(head) != BodyEnd.CONNECTION
                && repeated.add(identifier);
    }
}
