package org.wingstall.relay.run;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/** Holds the bytes of an incomplete event back until the event is complete. */
final class EventStreamBuffer {
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final EventStreamParser parser;

    EventStreamBuffer(EventStreamParser parser) {
        this.parser = parser;
    }

    /** Adds bytes and returns all buffered bytes that form complete events. */
    byte[] add(ByteBuf content) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        while (content.isReadable()) {
            byte next = content.readByte();
            pending.write(next);
            if (parser.read(next)) {
                whole.writeBytes(pending.toByteArray());
                pending.reset();
            }
        }
        return whole.toByteArray();
    }

    /** Returns whether no bytes are held back. */
    boolean empty() {
        return pending.size() == 0;
    }

    /** Discards an incomplete event. */
    void discard() {
        pending.reset();
    }
}
