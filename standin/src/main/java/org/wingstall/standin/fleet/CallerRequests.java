package org.wingstall.standin.fleet;

import java.net.URI;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Speaks to a gateway as callers of the users' platform do: the one place on the test side that names their headers.
 *
 * <p>{@code CallerRequests.post("127.0.0.1:8625", "/once/1", "request-1", 4000, "body").build()}
 *
 * @since 0.3
 */
public final class CallerRequests {
    private static final String ID = "X-Wingstall-Attempt-Id";

    private CallerRequests() {}

    /**
     * Begins a request of the workspace {@link FleetStandin#KEY} belongs to, with a prompt of three parts and one piece of
     * the first stage and three of the second.
     *
     * @param address IP address and port that the gateway takes callers at
     * @param path path and query
     * @param id identifier of the request
     * @param deadlineMs time that the caller waits, in ms
     * @param body the body
     */
    public static HttpRequest.Builder post(String address, String path, String id, long deadlineMs, String body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path));
        headers(id, deadlineMs).forEach(request::header);
        return request.POST(HttpRequest.BodyPublishers.ofString(body));
    }

    /**
     * Returns the headers of a request with a prompt of three parts and one piece of the first stage and three of the second.
     *
     * @param id identifier of the request
     * @param deadlineMs time that the caller waits, in ms
     */
    static Map<String, String> headers(String id, long deadlineMs) {
        return Map.of(
                ID,
                id,
                "X-Wingstall-Deadline-Ms",
                Long.toString(deadlineMs),
                "X-Wingstall-Prefix-Hash",
                "5c1e:800,91bd:410,e440:250",
                "X-Wingstall-Pieces",
                "1,3",
                "X-Wingstall-Piece-Key",
                "7c1e",
                "X-Api-Key",
                FleetStandin.KEY);
    }

    /** Gives a request a prompt that has no part in common with others, so that such requests are spread over all engines. */
    public static HttpRequest.Builder withOwnPrompt(HttpRequest.Builder request, String id) {
        return request.setHeader("X-Wingstall-Prefix-Hash", id + ":800,own:10");
    }

    /**
     * Gives a request a prompt.
     *
     * @param request the request
     * @param parts the parts that other requests may share, in order, and last the request's own
     */
    public static HttpRequest.Builder withPrompt(HttpRequest.Builder request, List<String> parts) {
        String prompt = parts.stream().map(part -> part + ":100").collect(Collectors.joining(","));
        return request.setHeader("X-Wingstall-Prefix-Hash", prompt);
    }

    /**
     * Lets a request take a stream up again.
     *
     * @param request the request
     * @param streamId identifier of the attempt that brought the first event
     * @param after last event that the caller has
     */
    public static HttpRequest.Builder resuming(HttpRequest.Builder request, String streamId, int after) {
        return request.header("Resumes", streamId).header("Last-Event-Id", Integer.toString(after));
    }

    /** Returns a request with the time after which its sender gives up, in ms. */
    public static HttpRequest within(HttpRequest.Builder request, long timeoutMs) {
        return request.timeout(Duration.ofMillis(timeoutMs)).build();
    }

    /** Returns the identifier that an answer carries; null when it has none. */
    public static String answerId(HttpHeaders headers) {
        return headers.firstValue(ID).orElse(null);
    }

    /** Returns the endpoint's signature of an answer; null when it has none. */
    public static String seal(HttpHeaders headers) {
        return headers.firstValue("X-Wingstall-Response-Seal").orElse(null);
    }
}
