package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.ctl.CtlMain;
import org.wingstall.gateway.GatewayMain;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.TestFleet;
import org.wingstall.it.harness.TestProcess;

/** wingstallctl and the check of settings, as processes: what they print and their exit codes. */
public class OperatorClientTest {
    private TestFleet fleet;
    private Path folder;
    private int runs;

    @BeforeClass
    public void startFleet() throws IOException {
        fleet = Fleets.three("operator-client");
        folder = Files.createTempDirectory(Path.of("target", "it-logs"), "ctl");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    private record Result(int exitCode, String printed) {}

    private Result run(Class<?> main, String... args) {
        try (TestProcess process = TestProcess.start(folder, "run-" + runs++, main, args)) {
            return new Result(process.awaitExit(30), process.log());
        }
    }

    private Result ctl(String... args) {
        List<String> all = new ArrayList<>(List.of(
                "--platform",
                fleet.platformAddress(),
                "--gateway",
                fleet.box("box-a").operator()));
        all.addAll(Arrays.asList(args));
        return run(CtlMain.class, all.toArray(String[]::new));
    }

    @DataProvider
    Object[][] commands() {
        return new Object[][] {
            {0, "workspace  guests", new String[] {"table", "show", "workspace"}},
            {
                0,
                "accepted as revision",
                new String[] {"table", "set", "workspace/crew", "weight=2", "--expect", "weight=1"}
            },
            {
                3,
                "weight changed: expected 44, found 2",
                new String[] {"table", "set", "workspace/crew", "weight=3", "--expect", "weight=44"}
            },
            {
                2,
                "workspace/crew: weight: '-1' is not valid; valid: at least 0.001",
                new String[] {"table", "set", "workspace/crew", "weight=-1"}
            },
            {
                2,
                "workspace/crew: wieght: 'unknown key' is not valid; valid: one of [name, weight",
                new String[] {"table", "set", "workspace/crew", "wieght=1"}
            },
            {4, "workspace/nobody does not exist", new String[] {"table", "remove", "workspace/nobody"}},
            {0, "requestsPerSecond: 20", new String[] {"table", "export"}},
            {0, "workspace/crew", new String[] {"table", "history"}},
            {0, "box-a in constanta-a: ready", new String[] {"fleet", "status"}},
            {4, "did not end here lately", new String[] {"request", "show", "no-such-request"}},
            {2, "invalid choice", new String[] {"table", "paint"}},
        };
    }

    @Test(dataProvider = "commands")
    public void commandsPrintAndExitAsDocumented(int exitCode, String printed, String[] args) {
        Result result = ctl(args);
        assertEquals(result.exitCode(), exitCode, result.printed());
        assertTrue(result.printed().contains(printed), result.printed());
    }

    @Test
    public void aPlatformThatDoesNotAnswerIsSaid() {
        Result result = run(CtlMain.class, "--platform", "127.0.0.1:1", "table", "history");
        assertEquals(result.exitCode(), 1, result.printed());
    }

    @Test
    public void brokenSettingsAreOneLineAndExitCodeTwo() throws IOException {
        Path file = folder.resolve("broken.yaml");
        Files.writeString(
                file,
                "boxId: a\nfailureDomain: d\ncallerAddress: 127.0.0.1:1\noperatorAddress: 127.0.0.1:2\n"
                        + "peerAddress: 127.0.0.1:3\nplatformAddress: 127.0.0.1:4\npolicy: {routing: fastest}\n");
        Result result = run(GatewayMain.class, "--settings", file.toString());
        assertEquals(result.exitCode(), 2, result.printed());
        assertEquals(result.printed().strip().lines().count(), 1, result.printed());
        assertTrue(
                result.printed().contains("policy.routing: 'fastest' is not valid; valid: one of"), result.printed());
    }
}
