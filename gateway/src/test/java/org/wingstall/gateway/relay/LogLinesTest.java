package org.wingstall.gateway.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.SimpleMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.check.Json;

public class LogLinesTest {
    private static final int MORE_THAN_WAIT = 3000;
    private static final int ROUNDS = 200;

    /** An output whose reader takes nothing until it is let go. */
    private static final class HeldOutput extends OutputStream {
        private final ByteArrayOutputStream taken = new ByteArrayOutputStream();
        private final CountDownLatch writing = new CountDownLatch(1);
        private final CountDownLatch goesOn = new CountDownLatch(1);

        @Override
        public void write(int value) throws IOException {
            writing.countDown();
            try {
                goesOn.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            taken.write(value);
        }
    }

    @DataProvider
    public Object[][] values() {
        return new Object[][] {
            {12, "12"},
            {1L << 40, "1099511627776"},
            {0.25, "0.25"},
            {true, "true"},
            {"a \"b\"", "\"a \\\"b\\\"\""},
            {Double.NaN, "\"NaN\""},
        };
    }

    @Test(dataProvider = "values")
    public void aFieldKeepsItsType(Object value, String json) throws IOException {
        JsonNode line = written(new MapMessage<>(java.util.Map.of("event", "started", "value", value)), null);

        assertEquals(line.at("/message/value").toString(), json);
        assertEquals(line.at("/message/event").asText(), "started");
        assertEquals(line.get("time").asText(), "2026-01-01T00:00:00Z");
        assertEquals(line.get("level").asText(), "WARN");
        assertEquals(line.get("logger").asText(), "org.wingstall.Box");
    }

    @Test
    public void aPlainMessageAndItsFailureAreKept() throws IOException {
        JsonNode line = written(new SimpleMessage("no room"), new IOException("disk"));

        assertEquals(line.get("message").asText(), "no room");
        assertEquals(line.get("trace").asText(), "java.io.IOException: disk");
    }

    private static JsonNode written(org.apache.logging.log4j.message.Message message, Throwable thrown)
            throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (LogLines lines = new LogLines(out)) {
            lines.add(new LogLines.Line(1_767_225_600_000L, Level.WARN, "org.wingstall.Box", message, thrown));
        }
        return Json.MAPPER.readTree(out.toByteArray());
    }

    @Test
    public void aReaderThatStopsHoldsNobodyUpAndLearnsHowManyLinesItMissed() throws Exception {
        HeldOutput out = new HeldOutput();
        LogLines lines = new LogLines(out);
        lines.add(numbered(0));
        out.writing.await();
        for (int i = 1; i <= MORE_THAN_WAIT; i++) {
            lines.add(numbered(i));
        }
        out.goesOn.countDown();
        lines.close();

        List<JsonNode> read = new ArrayList<>();
        for (String line : out.taken.toString(StandardCharsets.UTF_8).split("\n")) {
            read.add(Json.MAPPER.readTree(line));
        }
        long missed = read.stream()
                .mapToLong(line -> line.path("linesDroppedBefore").asLong())
                .sum();
        assertTrue(missed > 0, "no line was dropped");
        assertEquals(read.size() + missed, MORE_THAN_WAIT + 1);
    }

    /** The last lines of a process say how it ended; they wait together with the word to end. */
    @Test
    public void allLinesAreWrittenBeforeTheEnd() throws Exception {
        ByteArrayOutputStream taken = new ByteArrayOutputStream();
        for (int round = 0; round < ROUNDS; round++) {
            taken.reset();
            LogLines lines = new LogLines(new BufferedOutputStream(taken));
            lines.add(numbered(1));
            lines.add(numbered(2));
            lines.close();
            assertEquals(taken.toString(StandardCharsets.UTF_8).lines().count(), 2, "round " + round);
        }
    }

    private static LogLines.Line numbered(int number) {
        return new LogLines.Line(0, Level.INFO, "box", new SimpleMessage("line " + number), null);
    }
}
