package org.wingstall.it.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.awaitility.Awaitility;
import org.wingstall.core.member.Addresses;
import org.wingstall.gateway.relay.RelayGateway;
import org.wingstall.net.BindException;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.settings.RelaySettings;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.EndpointLinks;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;

/** A gateway in this process, and callers of it. */
final class RelayBox implements AutoCloseable {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static final long DEADLINE_MS = 5000;

    private final RelaySettings settings;
    private final RelayGateway gateway;
    private boolean closed;

    /** A whole answer; one that was broken off is an exception. */
    record Reply(int status, java.net.http.HttpHeaders headers, String body) {
        String header(String name) {
            return headers.firstValue(name).orElse(null);
        }
    }

    RelayBox(FleetStandin fleet, String boxId) throws IOException, InvalidDocumentException, BindException {
        this(fleet.settings(boxId, "east"));
    }

    /** Starts a gateway that calls endpoints by links of its own. */
    RelayBox(FleetStandin fleet, String boxId, EndpointLinks links)
            throws IOException, InvalidDocumentException, BindException {
        this(fleet.settings(boxId, "east", links));
    }

    /** Starts a gateway with settings in YAML. */
    RelayBox(String settingsText) throws InvalidDocumentException, BindException {
        settings = SchemaCheck.of(RelaySettings.class).read(Json.readYaml(settingsText));
        gateway = RelayGateway.listening(settings);
        gateway.start();
    }

    RelayBox awaitReady() {
        Awaitility.await().until(() -> readiness() == 200);
        return this;
    }

    /** Returns where the box takes links of other boxes. */
    InetSocketAddress peerAddress() {
        return Addresses.parse(settings.getPeerAddress());
    }

    int readiness() {
        return send(request(settings.getReadinessAddress(), "/v1/readyz", "probe")
                        .GET()
                        .build())
                .status();
    }

    String metrics() {
        return send(request(settings.getOperatorAddress(), "/metrics", "probe")
                        .GET()
                        .build())
                .body();
    }

    /** Returns what an operator is shown of requests that crash endpoints. */
    String quarantine() {
        return send(request(settings.getOperatorAddress(), "/quarantine", "probe")
                        .GET()
                        .build())
                .body();
    }

    /** Opens a connection of a caller. */
    Socket connect() throws IOException {
        InetSocketAddress address = Addresses.parse(settings.getCallerAddress());
        return new Socket(address.getAddress(), address.getPort());
    }

    /** Returns the bytes of a request without a body. */
    static String rawHead(String route, String id) {
        return String.join(
                "\r\n",
                "POST /" + route + "/ HTTP/1.1",
                "Host: " + FleetStandin.HOST,
                "X-Wingstall-Attempt-Id: " + id,
                "X-Wingstall-Deadline-Ms: 5000",
                "X-Wingstall-Prefix-Hash: " + id + ":800,own:10",
                "X-Api-Key: " + FleetStandin.KEY,
                "Connection: close",
                "Content-Length: 0",
                "\r\n");
    }

    /** Sends a request over a connection of its own and returns the bytes of the answer until the connection ends. */
    String postRaw(String route, String id) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(rawHead(route, id).getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    Reply post(String route, String id) {
        return postAsync(route, id).join();
    }

    CompletableFuture<Reply> postAsync(String route, String id) {
        return sendAsync(request(route, id).build());
    }

    /** Sends a request with a body of its own; empty when the connection ended without a whole answer. */
    Optional<Reply> postBody(String route, String id, String body) {
        HttpRequest request = CallerRequests.post(
                        settings.getCallerAddress(), "/" + route + "/x?y=1", id, DEADLINE_MS, body)
                .timeout(Duration.ofSeconds(20))
                .build();
        return answer(request);
    }

    /** Sends a request with a prompt and a body of its own; empty when it got no whole answer. */
    Optional<Reply> postPrompt(String route, String id, List<String> parts) {
        return answer(CallerRequests.withPrompt(request(route, id), parts).build());
    }

    /** Sends a request of the staged route whose first piece is made from a key; empty when it got no whole answer. */
    Optional<Reply> postPiece(String id, String pieceKey) {
        HttpRequest request = request("staged", id)
                .setHeader("X-Wingstall-Piece-Key", pieceKey)
                .build();
        return answer(request);
    }

    private static Optional<Reply> answer(HttpRequest request) {
        try {
            return Optional.of(send(request));
        } catch (CompletionException e) {
            return Optional.empty();
        }
    }

    HttpRequest.Builder request(String route, String id) {
        return CallerRequests.post(
                        settings.getCallerAddress(), "/" + route + "/x?y=1", id, DEADLINE_MS, "body of " + id)
                .timeout(Duration.ofSeconds(20));
    }

    private static HttpRequest.Builder request(String address, String path, String id) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(Duration.ofSeconds(20));
    }

    static Reply send(HttpRequest request) {
        return sendAsync(request).join();
    }

    static CompletableFuture<Reply> sendAsync(HttpRequest request) {
        return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(reply -> new Reply(reply.statusCode(), reply.headers(), reply.body()));
    }

    /** Sends a request and keeps what comes, also of an answer that is broken off. */
    static PartialAnswer sendPartially(HttpRequest request) throws InterruptedException {
        return PartialAnswer.of(CLIENT, request);
    }

    /** Returns whether the answer ended before it was whole. */
    boolean brokenOff(String route, String id) {
        try {
            post(route, id);
            return false;
        } catch (CompletionException e) {
            return e.getCause() instanceof IOException;
        }
    }

    /** Stops as planned; the process's other addresses answer on. */
    void stop() {
        gateway.stop();
    }

    /** Stops as planned and ends as a process does. */
    @Override
    public void close() {
        if (!closed) {
            closed = true;
            gateway.stop();
            gateway.close();
        }
    }
}
