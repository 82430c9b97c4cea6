package org.wingstall.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the heads of answers against RFC 9112 before they are decoded: the decoder takes other bytes for a head too, and
 * what it makes of them is not what the endpoint wrote.
 *
 * <p>{@code check.readLines(buffer); super.decode(ctx, buffer, out);}
 */
final class AnswerHeadCheck {
    /** A status code is of one of five classes; the blank before an empty reason phrase is often left out. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: [\\t -~\\x80-\\xff]*)?");

    private static final BitSet NAME_BYTES = new BitSet();

    static {
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                .chars()
                .forEach(NAME_BYTES::set);
    }

    private boolean headDue = true;
    private boolean statusLineDue = true;

    /** Expects another head, since the answer before has ended. */
    void expectHead() {
        headDue = true;
        statusLineDue = true;
    }

    /**
     * Checks the lines of a head that are complete; the decoder has to consume them before more bytes are checked.
     *
     * @param buffer bytes that are to be decoded; its indexes stay as they are
     * @throws MalformedHeadException if a line can't be one of an answer's head
     */
    void readLines(ByteBuf buffer) throws MalformedHeadException {
        int start = buffer.readerIndex();
        while (headDue) {
            int end = buffer.indexOf(start, buffer.writerIndex(), HttpConstants.LF);
            if (end < 0) {
                return;
            }
            boolean carriageReturn = end > start && buffer.getByte(end - 1) == HttpConstants.CR;
            readLine(buffer, start, carriageReturn ? end - 1 : end);
            start = end + 1;
        }
    }

    private void readLine(ByteBuf buffer, int start, int end) throws MalformedHeadException {
        if (statusLineDue) {
            String line = text(buffer, start, end);
            Matcher statusLine = STATUS_LINE.matcher(line);
            if (!statusLine.matches()) {
                throw new MalformedHeadException("status line", line);
            }
            statusLineDue = false;
        } else if (start == end) {
            headDue = false;
        } else {
            readHeader(buffer, start, end);
        }
    }

    /** A header is a name, directly followed by a colon, and a value without control bytes; folded lines are obsolete. */
    private static void readHeader(ByteBuf buffer, int start, int end) throws MalformedHeadException {
        int colon = start;
        while (colon < end && NAME_BYTES.get(buffer.getUnsignedByte(colon))) {
            colon++;
        }
        boolean sound = colon > start && colon < end && buffer.getByte(colon) == HttpConstants.COLON;
        for (int i = colon + 1; sound && i < end; i++) {
            sound = !isControl(buffer.getByte(i));
        }
        if (!sound || !hasKnownCoding(buffer, start, colon, end)) {
            throw new MalformedHeadException("header", text(buffer, start, end));
        }
    }

    /** A body in another transfer coding would not be passed on as the endpoint's body. */
    private static boolean hasKnownCoding(ByteBuf buffer, int start, int colon, int end) {
        return colon - start != HttpHeaderNames.TRANSFER_ENCODING.length()
                || !HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(text(buffer, start, colon))
                || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                        text(buffer, colon + 1, end).strip());
    }

    private static boolean isControl(byte value) {
        return value >= 0 && value < ' ' && value != '\t' || value == 0x7f;
    }

    private static String text(ByteBuf buffer, int start, int end) {
        return buffer.toString(start, end - start, StandardCharsets.ISO_8859_1);
    }
}
