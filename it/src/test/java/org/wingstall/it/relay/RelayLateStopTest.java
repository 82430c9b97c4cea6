package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/** A stop with the shipped settings cut requests that had come late in its grace over kept connections. */
public class RelayLateStopTest {
    /** Events of a stream that outlasts what is left of the grace after the notice. */
    private static final int LONG_STREAM = 1200;

    private FleetStandin fleet;
    private RelayBox box;
    private WorkerStandin plain;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 20_000);
        plain = new WorkerStandin("p1", 0, 0);
        fleet.add("engine", "east", "e1", new WorkerStandin("e1", LONG_STREAM, 0));
        fleet.add("plain", "east", "p1", plain);
        String settings = fleet.settings("stops", "east").replaceAll("stopNoticeMs: .*\n", "");
        box = new RelayBox(settings).awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    private static byte[] request(String route, String id, long deadlineMs) {
        return RelayBox.rawHead(route, id)
                .replace("Connection: close\r\n", "")
                .replaceAll("Deadline-Ms: \\d+", "Deadline-Ms: " + deadlineMs)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Opens a connection and gets a first answer over it. */
    private Socket keptConnection(String id) throws IOException {
        Socket socket = box.connect();
        socket.getOutputStream().write(request("repeatable", id, 5000));
        byte[] answer = new byte[4096];
        int length = socket.getInputStream().read(answer);
        String text = new String(answer, 0, length, StandardCharsets.US_ASCII);
        assertTrue(text.startsWith("HTTP/1.1 200") && text.endsWith("answer to " + id), text);
        return socket;
    }

    private static CompletableFuture<String> rest(Socket socket) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return "broken off: " + e;
            }
        });
    }

    private void awaitThat(BooleanSupplier condition) {
        Awaitility.await().until(condition::getAsBoolean);
    }

    @DataProvider
    public static Object[][] timesAfterStop() {
        return new Object[][] {{2700}, {2900}, {3100}};
    }

    @Test(dataProvider = "timesAfterStop")
    public void aStreamThatMayOutlastTheGraceIsRefusedWhenItComesLate(long afterMs) throws Exception {
        try (Socket kept = keptConnection("first")) {
            CompletableFuture<Void> stop = CompletableFuture.runAsync(box::stop);
            Pauses.ofMs(afterMs);
            kept.getOutputStream().write(request("stream", "late", 20_000));
            String answer = rest(kept).join();
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.toLowerCase().contains("connection: close"), answer);
            assertTrue(answer.toLowerCase().contains("retry-after: 0"), answer);
            stop.join();
        }
        assertTrue(box.metrics().contains("reason=\"stopping\""));
    }

    @Test
    public void aLateRequestThatEndsWithinTheGraceIsServed() throws Exception {
        try (Socket kept = keptConnection("first")) {
            CompletableFuture<Void> stop = CompletableFuture.runAsync(box::stop);
            Pauses.ofMs(2800);
            kept.getOutputStream().write(request("once", "late", 3000));
            String answer = rest(kept).join();
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("answer to late"), answer);
            stop.join();
        }
    }

    @DataProvider
    public static Object[][] plainRoutes() {
        return new Object[][] {{"once"}, {"repeatable"}};
    }

    /** Its endpoint is silent, so only the box can tell the caller. */
    @Test(dataProvider = "plainRoutes")
    public void aRequestThatRunsAtTheEndOfTheGraceIsAnswered(String route) throws Exception {
        try (Socket kept = keptConnection("first")) {
            plain.behave(WorkerStandin.Behaviour.SILENT);
            int runs = plain.runs().size();
            kept.getOutputStream().write(request(route, "runs", 20_000));
            awaitThat(() -> plain.runs().size() > runs);
            CompletableFuture<Void> stop = CompletableFuture.runAsync(box::stop);
            String answer = rest(kept).join();
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            stop.join();
        }
        assertEquals(fleet.store().badRequests(), 0);
    }
}
