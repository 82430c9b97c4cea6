package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/** The real program: its settings, signals and logs. */
public class RelayProcessTest {
    private static final String MAIN = "org.wingstall.gateway.relay.RelayMain";

    private FleetStandin fleet;
    private Path settings;
    private Path out;
    private Process process;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 1000);
        fleet.add("plain", "east", "p1", new WorkerStandin("p1", 0, 0));
        Path folder = Files.createTempDirectory("relay");
        settings = folder.resolve("relay.yaml");
        out = folder.resolve("out");
        Files.writeString(settings, fleet.settings("process-1", "east"));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        process.destroyForcibly();
        fleet.close();
    }

    private void run(String... more) throws IOException {
        String classPath = System.getProperty("java.class.path");
        List<String> command = new java.util.ArrayList<>(
                List.of("java", "-Xmx96m", "-cp", classPath, MAIN, "--settings", settings.toString()));
        command.addAll(List.of(more));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(out.toFile())
                .start();
    }

    private boolean says(String text) throws IOException {
        return Files.readString(out).contains(text);
    }

    private void awaitEvent(String event) {
        Awaitility.await(event).until(() -> says("\"event\":\"" + event + "\""));
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    @Test
    public void aSignalToReloadReadsTheSettingsAgainAndABadFileChangesNothing() throws Exception {
        run();
        awaitEvent("started");
        signal("HUP");
        awaitEvent("settings-reloaded");
        Files.writeString(settings, "boxId: 1");
        signal("HUP");
        awaitEvent("settings-not-reloaded");
        assertTrue(process.isAlive());
        signal("TERM");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertTrue(says("\"event\":\"stopped\""));
    }

    @Test
    public void settingsAreCheckedAndTheFaultIsNamed() throws Exception {
        Files.writeString(settings, Files.readString(settings).replace("retryBudgetRatio: 0.2", "retryBudgetRatio: 7"));
        run("--check");
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(process.exitValue(), 2);
        assertTrue(says("retryBudgetRatio: '7' is not valid"), Files.readString(out));
    }
}
