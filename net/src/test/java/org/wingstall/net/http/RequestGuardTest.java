package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a request that does not arrive in its time is rejected, and one that did is not, however it is split. */
public class RequestGuardTest {
    private static final long READ_MS = 1000;
    private static final HttpLimits LIMITS = new HttpLimits(1000, 10, READ_MS, 60_000);
    private static final String REQUEST = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";

    /** Bytes of each read, and how many requests are rejected for their time. */
    @DataProvider
    Object[][] reads() {
        int head = REQUEST.length() - 4;
        return new Object[][] {
            {List.of(), 1},
            {List.of(5), 1},
            {List.of(head), 1},
            {List.of(head, 2), 1},
            {List.of(head, 4), 0},
            {List.of(5, REQUEST.length() - 5), 0},
            {List.of(REQUEST.length()), 0},
            {List.of(REQUEST.length(), 5), 0},
            {List.of(REQUEST.length(), head), 1},
        };
    }

    @Test(dataProvider = "reads")
    public void aRequestThatStaysIncompleteIsRejected(List<Integer> reads, int rejected) {
        List<Rejection> rejections = new ArrayList<>();
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        channel.pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new RequestGuard(
                        () -> LIMITS, rejection -> rejected(rejections, rejection), new AtomicInteger()));
        channel.pipeline().fireChannelActive();
        String bytes = REQUEST + REQUEST;
        int at = 0;
        for (int length : reads) {
            String part = bytes.substring(at, at + length);
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
            at += length;
        }
        channel.advanceTimeBy(READ_MS - 1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(rejections.size(), 0, "within its time");
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(rejections.size(), rejected, "after its time");
        channel.unfreezeTime();
        channel.finishAndReleaseAll();
    }

    private static byte[] rejected(List<Rejection> rejections, Rejection rejection) {
        rejections.add(rejection);
        return new byte[0];
    }
}
