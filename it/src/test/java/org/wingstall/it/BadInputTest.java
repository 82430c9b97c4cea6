package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.member.Addresses;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Http;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.TestFleet;

/** Bad input of callers gets a typed answer, is counted, and is bounded in memory and time. */
public class BadInputTest {
    private TestFleet fleet;
    private TestFleet.Box box;

    @BeforeClass
    public void startFleet() {
        fleet = Fleets.three("bad-input", "callerLimits: {maxBodyBytes: 2048, maxConnections: 40, requestReadMs: 600}");
        box = fleet.box("box-a");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    @DataProvider
    Object[][] bad() {
        return new Object[][] {
            {"plan", "{\"workspace\": \"crew\"", 400, "bad-request"},
            {"plan", "", 400, "bad-request"},
            {"plan", "[1]", 400, "bad-request"},
            {"plan", "{\"workspace\": \"crew\"}", 400, "bad-request"},
            {"plan", "{\"workspace\": \"crew\", \"input\": 1, \"deadline\": 3}", 400, "bad-request"},
            {"plan", "{\"workspace\": \"crew\", \"input\": 1, \"deadlineMs\": \"3s\"}", 400, "bad-request"},
            {"plan", "{\"workspace\": \"crew\", \"input\": 1, \"deadlineMs\": 0}", 400, "bad-request"},
            {"plan", "{\"workspace\": \"crew\", \"input\": 1, \"deadlineMs\": 9000}", 400, "bad-deadline"},
            {"plan", "{\"workspace\": \"nobody\", \"input\": 1}", 403, "unknown-workspace"},
            {"lunch", "{\"workspace\": \"crew\", \"input\": 1}", 404, "unknown-pipeline"},
            {"a/b", "{\"workspace\": \"crew\", \"input\": 1}", 404, "unknown-pipeline"},
            {"order", "{\"workspace\": \"crew\", \"input\": 1}", 400, "missing-key"},
            {"plan", "{\"workspace\": \"crew\", \"input\": \"" + "x".repeat(4000) + "\"}", 413, "body-too-large"},
        };
    }

    @Test(dataProvider = "bad")
    public void badInputGetsATypedAnswer(String pipeline, String body, int status, String reason) throws IOException {
        double before = counted(reason);
        String reply =
                exchange("POST /v1/pipelines/" + pipeline + "/requests HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
                        + "content-length: " + body.length() + "\r\n\r\n" + body);
        assertTrue(reply.startsWith("HTTP/1.1 " + status), reply);
        assertTrue(reply.contains("\"outcome\":\"not-run\",\"reason\":\"" + reason + "\""), reply);
        assertEquals(counted(reason), before + 1);
    }

    private double counted(String reason) {
        return fleet.metric(box, "wingstall_outcomes_total{outcome=\"not-run\",reason=\"" + reason + "\"}");
    }

    @Test
    public void aSlowDripIsEndedInTime() throws IOException {
        long beganMs = System.currentTimeMillis();
        String reply = exchange("POST /v1/pipelines/plan/requests HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{");
        assertTrue(reply.contains("slow-request"), reply);
        assertTrue(System.currentTimeMillis() - beganMs < 10_000);
    }

    @Test
    public void aConnectionThatSendsNothingIsEndedInTime() throws IOException {
        assertTrue(exchange("").contains("slow-request"));
    }

    @Test
    public void noHttpGetsATypedAnswer() throws IOException {
        assertTrue(exchange("\u0001\u0002 this is no http\r\n\r\n").contains("bad-request"));
    }

    @Test
    public void tooManyConnectionsAreTurnedAway() throws IOException {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < 40; i++) {
                sockets.add(connect());
            }
            Awaitility.await()
                    .atMost(Duration.ofSeconds(5))
                    .pollInterval(Duration.ofMillis(10))
                    .until(() -> fleet.metric(box, "wingstall_caller_connections") >= 40);
            assertTrue(exchange("GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").contains("too-many-connections"));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private Socket connect() throws IOException {
        InetSocketAddress address = Addresses.parse(box.caller());
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    public void aWorkspaceIsHeldToItsLimitByTheWholeFleet() {
        List<CompletableFuture<Http.Reply>> replies = new ArrayList<>();
        long untilMs = System.currentTimeMillis() + 4000;
        for (int i = 0; System.currentTimeMillis() < untilMs; i++) {
            String address = fleet.boxes().get(i % 3).caller();
            replies.add(Http.postAsync(
                    address, "/v1/pipelines/plan/requests", TestFleet.body("guests", "g" + i), "application/json"));
            Pauses.ofMs(10);
        }
        Map<String, Integer> counts = new TreeMap<>();
        for (CompletableFuture<Http.Reply> reply : replies) {
            counts.merge(reply.join().json().path("reason").asText("complete"), 1, Integer::sum);
        }
        System.out.println("limit of 20 a second over 4 s: " + counts);
        assertTrue(counts.get("workspace-limit") > 0, counts.toString());
        assertTrue(counts.getOrDefault("complete", 0) <= 20 * 5 + 20, counts.toString());
        assertTrue(counts.getOrDefault("complete", 0) >= 20 * 2, counts.toString());
    }
}
