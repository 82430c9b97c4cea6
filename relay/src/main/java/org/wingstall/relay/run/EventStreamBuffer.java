package org.wingstall.relay.run;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Cuts a stream at the ends of its events and remembers the identifier of the last whole one. */
final class EventStreamBuffer {
    private static final String ID = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private String pendingEventId;
    private String lastEventId;

    /** Takes bytes in and returns those that end whole events. */
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

    /** Ends a line; returns whether it was the empty one that ends an event. */
    private boolean finishLine() {
        String text = line.toString(StandardCharsets.UTF_8).strip();
        line.reset();
        if (text.startsWith(ID)) {
            pendingEventId = text.substring(ID.length()).strip();
        }
        return text.isEmpty();
    }

    /** Drops an event that was broken off. */
    void discardPartialEvent() {
        pending.reset();
        line.reset();
        pendingEventId = null;
    }

    boolean hasPartialEvent() {
        return pending.size() > 0;
    }

    /** Returns the identifier of the last whole event, or null. */
    String lastEventId() {
        return lastEventId;
    }
}
