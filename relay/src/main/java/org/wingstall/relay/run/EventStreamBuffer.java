package org.wingstall.relay.run;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Splits a stream of server-sent events at event boundaries and keeps the identifier of the last complete event. */
final class EventStreamBuffer {
    private static final String ID = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private String pendingEventId;
    private String lastEventId;

    /** Adds bytes and returns all buffered bytes that form complete events. */
    byte[] add(ByteBuf content) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        while (content.isReadable()) {
            byte next = content.readByte();
            pending.write(next);
            if (next != '\n') {
                line.write(next);
            } else if (finishLine()) {
                whole.writeBytes(pending.toByteArray());
                pending.reset();
                lastEventId = pendingEventId == null ? lastEventId : pendingEventId;
                pendingEventId = null;
            }
        }
        return whole.toByteArray();
    }

    /** Processes a complete line; returns whether it is the empty line that ends an event. */
    private boolean finishLine() {
        String text = line.toString(StandardCharsets.UTF_8).strip();
        line.reset();
        if (text.startsWith(ID)) {
            pendingEventId = text.substring(ID.length()).strip();
        }
        return text.isEmpty();
    }

    /** Discards an incomplete event. */
    void discardPartialEvent() {
        pending.reset();
        line.reset();
        pendingEventId = null;
    }

    boolean hasPartialEvent() {
        return pending.size() > 0;
    }

    /** Returns the identifier of the last complete event, or null. */
    String lastEventId() {
        return lastEventId;
    }
}
