package org.wingstall.gateway.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;

/**
 * Writes log lines as JSON from a thread of its own. When their reader stops lines are dropped, so that no request waits; the
 * next line that is written says how many. Safe for use on any thread.
 *
 * <p>{@code lines.add(new Line(nowMs, Level.INFO, "org.wingstall.Box", message, null)); ... lines.close();}
 */
final class LogLines implements AutoCloseable {
    /** Lines that wait for their reader; a few seconds of a busy box. */
    private static final int WAITING_LINES = 2048;

    /** Longest time that an end of the process waits for the last lines to be written, in ms. */
    private static final long CLOSE_MS = 500;

    private static final JsonFactory JSON = new JsonFactory();
    private static final Line END = new Line(0, Level.OFF, "", null, null);

    private final BlockingQueue<Line> waiting = new ArrayBlockingQueue<>(WAITING_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream out;
    private final Thread writer = new Thread(this::writeAll, "log");

    /**
     * One line.
     *
     * @param atMs wall-clock time, in ms since 1970
     * @param level how much it matters
     * @param logger who says it
     * @param message what it says
     * @param thrown the failure that it tells of, or null
     */
    record Line(long atMs, Level level, String logger, Message message, Throwable thrown) {}

    LogLines(OutputStream out) {
        this.out = out;
        writer.setDaemon(true);
        writer.start();
    }

    static LogLines toStandardOutput() {
        return new LogLines(new BufferedOutputStream(new FileOutputStream(FileDescriptor.out)));
    }

    /** Hands a line over; drops it when too many wait. */
    void add(Line line) {
        if (!waiting.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Writes what waits, then ends. */
    @Override
    public void close() {
        try {
            boolean room = waiting.offer(END, CLOSE_MS, TimeUnit.MILLISECONDS);
            writer.join(room ? CLOSE_MS : 1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAll() {
        try {
            Line line = waiting.take();
            while (line != END) {
                write(line);
                line = waiting.take();
            }
            out.flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The reader is gone for good, and there is nowhere else to say so; lines are dropped from here on.
            dropped.incrementAndGet();
        }
    }

    private void write(Line line) throws IOException {
        out.write(encode(line, dropped.getAndSet(0)));
        if (waiting.isEmpty()) {
            out.flush();
        }
    }

    private static byte[] encode(Line line, long droppedBefore) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("time", Instant.ofEpochMilli(line.atMs()).toString());
            json.writeStringField("level", line.level().name());
            json.writeStringField("logger", line.logger());
            if (droppedBefore > 0) {
                json.writeNumberField("linesDroppedBefore", droppedBefore);
            }
            writeMessage(json, line.message());
            if (line.thrown() != null) {
                json.writeStringField("trace", line.thrown().toString());
            }
            json.writeEndObject();
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }

    private static void writeMessage(JsonGenerator json, Message message) throws IOException {
        if (!(message instanceof MapMessage<?, ?> fields)) {
            json.writeStringField("message", message.getFormattedMessage());
            return;
        }
        json.writeObjectFieldStart("message");
        fields.forEach((String name, Object value) -> writeField(json, name, value));
        json.writeEndObject();
    }

    private static void writeField(JsonGenerator json, String name, Object value) {
        try {
            json.writeFieldName(name);
            if (value instanceof Long || value instanceof Integer) {
                json.writeNumber(((Number) value).longValue());
            } else if (value instanceof Double number && Double.isFinite(number)) {
                json.writeNumber(number);
            } else if (value instanceof Boolean truth) {
                json.writeBoolean(truth);
            } else {
                json.writeString(String.valueOf(value));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
