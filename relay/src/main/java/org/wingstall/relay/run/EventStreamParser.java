package org.wingstall.relay.run;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Follows the bytes of server-sent events and tells where events end. Lines end with CR, LF or both; an event ends with
 * an empty line; a line that begins with a colon is a comment.
 */
final class EventStreamParser {
    private static final String BYTE_ORDER_MARK = "\uFEFF";
    private static final String ID = "id";
    private static final char COLON = ':';

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private boolean firstLine;
    private boolean afterCarriageReturn;
    private boolean eventBegun;
    private String pendingEventId;
    private String lastEventId;
    private int events;
    private int unfinishedBytes;

    EventStreamParser() {
        beginBody();
    }

    /** Starts at the first byte of another body, which goes on after the last complete event. */
    void beginBody() {
        line.reset();
        firstLine = true;
        afterCarriageReturn = false;
        eventBegun = false;
        pendingEventId = null;
        events = 0;
        unfinishedBytes = 0;
    }

    /**
     * Follows a part of a stream whose bytes are not held back. Most parts end with an event, and after the first event
     * the bytes before its end don't matter.
     */
    void follow(ByteBuf part) {
        if (events > 0 && endsWithEmptyLine(part)) {
            line.reset();
            afterCarriageReturn = false;
            eventBegun = true;
            finishEvent();
            unfinishedBytes = 0;
            return;
        }
        for (int at = part.readerIndex(); at < part.writerIndex(); at++) {
            read(part.getByte(at));
        }
    }

    private static boolean endsWithEmptyLine(ByteBuf part) {
        int end = part.writerIndex();
        return part.readableBytes() > 1 && part.getByte(end - 1) == '\n' && part.getByte(end - 2) == '\n';
    }

    /**
     * Reads a part of a stream that is whole events from its first to its last byte, as most parts are, line by line
     * instead of byte by byte.
     *
     * @return whether the part was read; false for any other part, which has to be read by its bytes
     */
    boolean readWholeEvents(ByteBuf part) {
        boolean whole = !firstLine
                && !insideEvent()
                && !afterCarriageReturn
                && endsWithEmptyLine(part)
                && part.bytesBefore((byte) '\r') < 0;
        if (!whole) {
            return false;
        }
        int end = part.writerIndex();
        int start = part.readerIndex();
        while (start < end) {
            int lineEnd = part.indexOf(start, end, (byte) '\n');
            readLine(part, start, lineEnd - start);
            start = lineEnd + 1;
        }
        unfinishedBytes = 0;
        return true;
    }

    /** Reads a line that is in a part as a whole; only one that may be an identifier is read as text. */
    private void readLine(ByteBuf part, int start, int length) {
        if (length == 0) {
            finishEvent();
        } else if (part.getByte(start) != COLON) {
            eventBegun = true;
            if (part.getByte(start) == ID.charAt(0)) {
                readField(part.toString(start, length, StandardCharsets.UTF_8));
            }
        }
    }

    /** Reads the next byte; returns whether all bytes so far belong to complete events and complete comments. */
    boolean read(byte next) {
        boolean endsLineBefore = next == '\n' && afterCarriageReturn;
        afterCarriageReturn = next == '\r';
        unfinishedBytes++;
        if (next != '\n' && next != '\r') {
            line.write(next);
        } else if (!endsLineBefore) {
            finishLine();
        }
        if (!insideEvent()) {
            unfinishedBytes = 0;
        }
        return !insideEvent();
    }

    private void finishLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (firstLine && text.startsWith(BYTE_ORDER_MARK)) {
            text = text.substring(BYTE_ORDER_MARK.length());
        }
        firstLine = false;
        if (text.isEmpty()) {
            finishEvent();
        } else if (text.charAt(0) != COLON) {
            eventBegun = true;
            readField(text);
        }
    }

    private void readField(String text) {
        int colon = text.indexOf(COLON);
        String name = colon < 0 ? text : text.substring(0, colon);
        if (name.equals(ID)) {
            pendingEventId = colon < 0 ? "" : text.substring(colon + 1).strip();
        }
    }

    private void finishEvent() {
        if (eventBegun) {
            events++;
            // A stream can't be resumed after an event without an identifier: it would come twice.
            lastEventId = pendingEventId == null || pendingEventId.isEmpty() ? null : pendingEventId;
            eventBegun = false;
            pendingEventId = null;
        }
    }

    /** Returns whether the bytes so far end inside an event, or inside a line. */
    boolean insideEvent() {
        return eventBegun || line.size() > 0;
    }

    /** Returns the number of complete events in the body; the least number, if parts of it were only followed. */
    int events() {
        return events;
    }

    /** Returns the number of bytes after the last complete event or comment. */
    int unfinishedBytes() {
        return unfinishedBytes;
    }

    /** Returns the identifier of the last complete event; null if it has none, or there is none. */
    String lastEventId() {
        return lastEventId;
    }
}
