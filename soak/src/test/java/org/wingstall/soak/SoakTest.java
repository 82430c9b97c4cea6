package org.wingstall.soak;

import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A short soak of fixed seeds; bounds in time are stretched, since the machine may be busy with other things. */
public class SoakTest {
    private static final long SLACK_MS = 15_000;
    private static final long FAULTS_MS = 4000;
    private static final int BOXES = 3;
    private static final int CALLERS = 6;

    @DataProvider
    Object[][] seeds() throws IOException {
        try (BufferedReader lines = new BufferedReader(
                new InputStreamReader(SoakMain.class.getResourceAsStream("seeds.txt"), StandardCharsets.UTF_8))) {
            return lines.lines()
                    .filter(line -> !line.isBlank() && !line.startsWith("#"))
                    .map(line -> new Object[] {Long.parseLong(line.split(" ")[0])})
                    .toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "seeds")
    public void allPromisesHoldUnderTheFaultsOfASeed(long seed) throws Exception {
        SoakOptions options =
                new SoakOptions(seed, BOXES, CALLERS, FAULTS_MS, SLACK_MS, Files.createTempDirectory("soak"));
        SoakRun run = new SoakRun(options);
        List<Violation> broken = run.play();
        assertTrue(broken.isEmpty(), broken + "; " + run.disturbed() + "; logs in " + options.folder());
    }
}
