package org.wingstall.it.relay;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.wingstall.gateway.relay.RelayMain;
import org.wingstall.it.harness.TestProcess;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.FleetStandin;

/** A gateway as a process of its own, which is killed and started again at the same addresses. */
final class ProcessBox implements AutoCloseable {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static final long DEADLINE_MS = 8000;

    private final String settings;
    private final String failureDomain;
    private final TestProcess process;

    ProcessBox(FleetStandin fleet, Path folder, String boxId, String failureDomain) throws IOException {
        this.failureDomain = failureDomain;
        this.settings = fleet.settings(boxId, failureDomain);
        Path file = folder.resolve(boxId + ".yaml");
        Files.writeString(file, settings);
        this.process = TestProcess.start(folder, boxId, RelayMain.class, "--settings", file.toString());
    }

    String failureDomain() {
        return failureDomain;
    }

    void kill() {
        process.kill();
    }

    void startAgain() {
        process.restart();
    }

    /** Returns what the box has written, over all its lives. */
    String log() {
        return process.log();
    }

    /** Waits until a gauge has a value. */
    void awaitGauge(String name, int value) {
        Awaitility.await(name).atMost(Duration.ofSeconds(20)).until(() -> metrics()
                .contains(name + " " + value + ".0"));
    }

    private String metrics() {
        String address = FleetStandin.valueOf(settings, "operatorAddress");
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/metrics"))
                .timeout(Duration.ofSeconds(2))
                .build();
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException e) {
            return "";
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Begins a request for a stream with a prompt of its own. */
    HttpRequest.Builder stream(String id) {
        String address = FleetStandin.valueOf(settings, "callerAddress");
        return CallerRequests.withOwnPrompt(
                CallerRequests.post(address, "/resumable/x", id, DEADLINE_MS, "body of " + id), id);
    }

    @Override
    public void close() {
        process.close();
    }
}
