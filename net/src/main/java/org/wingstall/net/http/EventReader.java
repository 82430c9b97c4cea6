package org.wingstall.net.http;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Takes the data of server-sent events out of a body that comes in parts.
 *
 * <p>{@code EventReader reader = new EventReader(data -> handle(data)); reader.read(part);}
 *
 * @since 0.1
 */
public final class EventReader {
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Events events;

    /** Told of each event. */
    @FunctionalInterface
    public interface Events {
        /** Takes the data of one event. */
        void event(byte[] data);
    }

    /**
     * Creates a reader at the start of a body.
     *
     * @param events told of each event
     */
    public EventReader(Events events) {
        this.events = events;
    }

    /** Reads the next part of the body. */
    public void read(ByteBuf part) {
        while (part.isReadable()) {
            byte next = part.readByte();
            if (next == '\n') {
                endLine();
            } else if (next != '\r') {
                line.write(next);
            }
        }
    }

    private void endLine() {
        byte[] text = line.toByteArray();
        line.reset();
        if (startsWithData(text)) {
            byte[] data = new byte[text.length - DATA.length];
            System.arraycopy(text, DATA.length, data, 0, data.length);
            events.event(data);
        }
    }

    private static boolean startsWithData(byte[] text) {
        return text.length >= DATA.length && java.util.Arrays.equals(text, 0, DATA.length, DATA, 0, DATA.length);
    }
}
