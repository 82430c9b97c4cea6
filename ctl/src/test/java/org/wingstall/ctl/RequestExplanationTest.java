package org.wingstall.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RequestExplanationTest {
    private static final String LINES = String.join(
            "\n",
            line("box-a", "10.000", "\"event\":\"source-lost\",\"source\":\"config\""),
            line("box-a", "03.000", "\"event\":\"source-lost\",\"source\":\"endpoints\""),
            line("box-b", "10.100", "\"event\":\"endpoint-avoided\",\"endpoint\":\"i-7\""),
            line("box-b", "10.100", "\"event\":\"endpoint-avoided\",\"endpoint\":\"i-8\""),
            "no document at all",
            "{\"half\":",
            line(
                    "box-a",
                    "11.000",
                    "\"event\":\"request\",\"requestId\":\"r1\",\"tookMs\":\"500\",\"attempts\":\"[i-7 load 3]\""),
            line("box-a", "11.000", "\"event\":\"request\",\"requestId\":\"r2\",\"tookMs\":\"5\""));

    private static String line(String box, String second, String message) {
        return box + " {\"time\":\"2026-10-04T01:32:" + second + "Z\",\"message\":{" + message + "}}";
    }

    private static String explain(String id) throws Exception {
        return explain(id, LINES);
    }

    private static String explain(String id, String lines) throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        RequestExplanation.explain(
                id, new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)), new PrintStream(bytes));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @DataProvider
    Object[][] parts() {
        return new Object[][] {
            {"its own line", "requestId: r1", true},
            {"a change at its box", "source: config", true},
            {"a change at its endpoint that another box saw", "endpoint: i-7", true},
            {"a change at an endpoint that it had nothing to do with", "endpoint: i-8", false},
            {"a change long before", "source: endpoints", false},
            {"another request", "r2", false},
        };
    }

    @Test(dataProvider = "parts")
    public void anExplanationHoldsWhatMayHaveDecided(String what, String text, boolean expected) throws Exception {
        assertEquals(explain("r1").contains(text), expected, what);
    }

    @Test
    public void linesStandInTheOrderOfTheirTimes() throws Exception {
        List<String> lines = explain("r1").lines().toList();
        assertTrue(lines.get(0).contains("source-lost"));
        assertFalse(lines.get(0).contains("r1"));
    }

    @DataProvider
    Object[][] fingerprints() {
        return new Object[][] {{"f1", true}, {"f2", false}};
    }

    /** An endpoint that ended under an earlier repeat, at another box and long before, is why this one was held back. */
    @Test(dataProvider = "fingerprints")
    public void whatTheSameRequestDidBeforeIsPartOfIt(String fingerprint, boolean expected) throws Exception {
        String lines = String.join(
                "\n",
                line("box-c", "01.000", "\"event\":\"crash-report\",\"fingerprint\":\"f1\",\"losses\":\"[i-3]\""),
                line("box-a", "40.000", "\"event\":\"request\",\"requestId\":\"r1\",\"fingerprint\":\"%s\"")
                        .formatted(fingerprint));
        assertEquals(explain("r1", lines).contains("losses: [i-3]"), expected);
    }

    @Test
    public void aRequestWithoutLinesIsNotFound() {
        assertThrows(NotFoundException.class, () -> explain("unknown"));
    }
}
