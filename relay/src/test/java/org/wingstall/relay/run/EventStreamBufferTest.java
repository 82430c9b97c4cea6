package org.wingstall.relay.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that only complete events are forwarded, wherever the stream is split. */
public class EventStreamBufferTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: brok";

    @DataProvider
    Object[][] cuts() {
        return new Object[][] {{1}, {2}, {7}, {STREAM.length()}};
    }

    @Test(dataProvider = "cuts")
    public void aBrokenEventIsHeldBackAndTheLastWholeOneIsKnown(int bytesAtOnce) {
        EventStreamParser parser = new EventStreamParser();
        EventStreamBuffer tail = new EventStreamBuffer(parser);
        StringBuilder passed = new StringBuilder();
        for (int at = 0; at < STREAM.length(); at += bytesAtOnce) {
            String part = STREAM.substring(at, Math.min(STREAM.length(), at + bytesAtOnce));
            passed.append(new String(tail.add(Unpooled.copiedBuffer(part, StandardCharsets.UTF_8))));
        }
        assertEquals(passed.toString(), STREAM.substring(0, STREAM.indexOf("id: 3")));
        assertEquals(parser.lastEventId(), "2");
        assertTrue(parser.insideEvent());
        tail.discard();
        parser.beginBody();
        assertFalse(parser.insideEvent());
    }
}
