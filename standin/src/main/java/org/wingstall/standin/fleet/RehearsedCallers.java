package org.wingstall.standin.fleet;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends the requests of a rehearsal, several at the same time. What becomes of a request does not matter, but it is given up
 * after a short time, as callers do.
 */
final class RehearsedCallers {
    private static final long DEADLINE_MS = 3000;

    /** Time after which a caller closes its connection, in ms; less than the deadline, so that boxes see callers leave. */
    private static final long TIMEOUT_MS = 600;

    private static final int OK = 200;
    private static final int NO_ANSWER = 0;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicInteger ids = new AtomicInteger();

    /** Returns an identifier that no other request has. */
    String nextId() {
        return "fleet" + ids.incrementAndGet();
    }

    /** Begins a request that the endpoints of all services can run. */
    HttpRequest.Builder request(String settings, String route, String id) {
        return CallerRequests.post(callerAddress(settings), "/" + route + "/x?y=1", id, DEADLINE_MS, "body of " + id)
                .header("X-Wingstall-Model", "m")
                .header("X-Wingstall-Token-Count", "1460,80");
    }

    /** Begins a request with a body of its own. */
    HttpRequest.Builder requestWithBody(String settings, String route, String body) {
        return request(settings, route, nextId()).POST(HttpRequest.BodyPublishers.ofString(body));
    }

    static String callerAddress(String settings) {
        return FleetStandin.valueOf(settings, "callerAddress");
    }

    /** Sends one request of each route to each box at the same time, and waits for the answers; returns how many were served. */
    int sendRound(List<String> boxes, List<String> routes) {
        List<HttpRequest.Builder> requests = new ArrayList<>();
        for (String box : boxes) {
            for (String route : routes) {
                String id = nextId();
                requests.add(CallerRequests.withOwnPrompt(request(box, route, id), id));
                requests.add(request(box, route, nextId()));
            }
        }
        return sendAll(requests);
    }

    /** Sends requests at the same time and waits for the answers; returns how many were served. */
    int sendAll(List<HttpRequest.Builder> requests) {
        List<CompletableFuture<Integer>> statuses =
                requests.stream().map(this::statusOf).toList();
        return (int) statuses.stream().filter(status -> status.join() == OK).count();
    }

    private CompletableFuture<Integer> statusOf(HttpRequest.Builder request) {
        return client.sendAsync(CallerRequests.within(request, TIMEOUT_MS), HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> failure == null ? response.statusCode() : NO_ANSWER);
    }

    /** Returns what an operator is shown under a path; an empty text without an answer. */
    String shown(String settings, String path) {
        String address = FleetStandin.valueOf(settings, "operatorAddress");
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path));
        return client.sendAsync(CallerRequests.within(request, TIMEOUT_MS), HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> failure == null ? response.body() : "")
                .join();
    }
}
