package org.wingstall.relay.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the rules of server-sent events by which the end of a stream is judged. */
public class EventStreamParserTest {
    @DataProvider
    Object[][] streams() {
        return new Object[][] {
            {"", false, 0, null},
            {"id: 1\ndata: a\n\n", false, 1, "1"},
            {"id: 1\r\ndata: a\r\n\r\n", false, 1, "1"},
            {"id: 1\rdata: a\r\r", false, 1, "1"},
            {"id: 1\r\ndata: a\r\n\r", false, 1, "1"},
            {"\uFEFFid:1\ndata: a\n\n", false, 1, "1"},
            {"id: 1\ndata: a\ndata: b\n\n\n\n", false, 1, "1"},
            {"id: 1\ndata\n\n", false, 1, "1"},
            {"id: 1\ndata: a\n\n: waiting\n", false, 1, "1"},
            {": waiting\n\n", false, 0, null},
            {"id: 1\ndata: a\n\ndata: b\n\n", false, 2, null},
            {"id: 1\ndata: a\n\nid\ndata: b\n\n", false, 2, null},
            {"id: 1\ndata: a\n\nid: 2\ndata: b\n", true, 1, "1"},
            {"id: 1\ndata: a\n\nid: 2\ndata: b", true, 1, "1"},
            {"id: 1\ndata: a\n\nid: 2\ndata: b\n: waiting\n", true, 1, "1"},
            {"id: 1\ndata: a\n\n: wait", true, 1, "1"},
            {"id: 1\ndata: a\n\n ", true, 1, "1"},
            {"weights: 3\n", true, 0, null},
        };
    }

    @Test(dataProvider = "streams")
    public void theEndOfAStreamIsJudgedByItsLastLine(String stream, boolean inside, int events, String lastId) {
        EventStreamParser parser = new EventStreamParser();
        for (byte next : stream.getBytes(StandardCharsets.UTF_8)) {
            parser.read(next);
        }
        assertEquals(parser.insideEvent(), inside);
        assertEquals(parser.unfinishedBytes() > 0, inside);
        assertEquals(parser.events(), events);
        assertEquals(parser.lastEventId(), lastId);
    }

    /** Bytes of the first part; the rest is the second one. */
    @DataProvider
    Object[][] splits() {
        return new Object[][] {{0}, {1}, {7}, {15}, {16}, {20}, {33}};
    }

    /** A stream that is only followed ends inside an event exactly where one that is read does. */
    @Test(dataProvider = "splits")
    public void aFollowedStreamEndsWhereAReadOneDoes(int firstBytes) {
        for (Object[] row : streams()) {
            byte[] stream = ("id: 0\ndata: z\n\n" + row[0]).getBytes(StandardCharsets.UTF_8);
            int split = Math.min(firstBytes, stream.length);
            EventStreamParser parser = new EventStreamParser();
            parser.follow(Unpooled.wrappedBuffer(stream, 0, split));
            parser.follow(Unpooled.wrappedBuffer(stream, split, stream.length - split));
            assertEquals(parser.insideEvent(), row[1], row[0] + " split at " + firstBytes);
            assertTrue(parser.events() > 0);
        }
    }

    /** Guards against events that are lost, counted twice or taken for whole when parts are read by lines. */
    @Test(dataProvider = "splits")
    public void aPartOfWholeEventsIsReadAsItsBytesAre(int firstBytes) {
        for (Object[] row : streams()) {
            byte[] stream = ("id: 0\ndata: z\n\n" + row[0]).getBytes(StandardCharsets.UTF_8);
            int split = Math.min(firstBytes, stream.length);
            EventStreamParser byBytes = new EventStreamParser();
            EventStreamParser byParts = new EventStreamParser();
            for (ByteBuf part : List.of(
                    Unpooled.wrappedBuffer(stream, 0, split),
                    Unpooled.wrappedBuffer(stream, split, stream.length - split))) {
                readBytes(byBytes, part);
                if (byParts.readWholeEvents(part)) {
                    assertFalse(byBytes.insideEvent(), row[0] + " split at " + firstBytes);
                } else {
                    readBytes(byParts, part);
                }
                assertEquals(byParts.insideEvent(), byBytes.insideEvent(), row[0] + " split at " + firstBytes);
                assertEquals(byParts.unfinishedBytes(), byBytes.unfinishedBytes());
                assertEquals(byParts.events(), byBytes.events(), row[0] + " split at " + firstBytes);
                assertEquals(byParts.lastEventId(), byBytes.lastEventId(), row[0] + " split at " + firstBytes);
            }
        }
    }

    /** Guards against a fast path that is never taken. */
    @Test
    public void laterPartsOfWholeEventsAreReadByLines() {
        EventStreamParser parser = new EventStreamParser();
        readBytes(parser, Unpooled.copiedBuffer("id: 1\ndata: a\n\n", StandardCharsets.UTF_8));
        ByteBuf part =
                Unpooled.copiedBuffer("id: 2\ndata: b\n\n: waiting\n\nid: 3\ndata: c\n\n", StandardCharsets.UTF_8);
        assertTrue(parser.readWholeEvents(part));
        assertEquals(parser.events(), 3);
        assertEquals(parser.lastEventId(), "3");
    }

    private static void readBytes(EventStreamParser parser, ByteBuf part) {
        for (int at = part.readerIndex(); at < part.writerIndex(); at++) {
            parser.read(part.getByte(at));
        }
    }
}
