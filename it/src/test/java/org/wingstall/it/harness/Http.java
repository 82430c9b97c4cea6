package org.wingstall.it.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;

/** A small HTTP client for tests, on the JDK's own. */
public final class Http {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();

    private Http() {}

    public record Reply(int status, String body) {
        public JsonNode json() {
            try {
                return Json.readTree(body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
            } catch (InvalidDocumentException e) {
                throw new AssertionError(body, e);
            }
        }
    }

    public static Reply get(String address, String path) throws IOException {
        return send(HttpRequest.newBuilder(uri(address, path)).timeout(TIMEOUT).build());
    }

    public static Reply post(String address, String path, Object document) throws IOException {
        return send(request(address, path, document));
    }

    public static Reply send(HttpRequest request) throws IOException {
        try {
            HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Reply(response.statusCode(), response.body());
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    public static CompletableFuture<Reply> postAsync(String address, String path, Object document, String accept) {
        HttpRequest request = HttpRequest.newBuilder(request(address, path, document), (name, value) -> true)
                .header("accept", accept)
                .build();
        return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Reply(response.statusCode(), response.body()));
    }

    private static HttpRequest request(String address, String path, Object document) {
        return HttpRequest.newBuilder(uri(address, path))
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(document)))
                .build();
    }

    public static URI uri(String address, String path) {
        return URI.create("http://" + address + path);
    }
}
