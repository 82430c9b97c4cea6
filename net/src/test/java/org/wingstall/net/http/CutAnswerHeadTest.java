package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An answer that stopped inside its head was taken for a whole one without a body. */
public class CutAnswerHeadTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 9);
    private static final String ID = "attempt";
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    private final List<String> heard = new ArrayList<>();
    private EmbeddedChannel channel;

    /** What came on the connection before the head. */
    enum Before {
        NOTHING,
        INTERIM_ANSWER,
        ANSWERED_REQUEST
    }

    /** How the connection ends. */
    enum End {
        CLOSED,
        RESET
    }

    /** Records what its exchange hears. */
    private final class Recorder implements ResponseListener {
        @Override
        public void head(int status, HttpHeaders headers) {
            heard.add("head " + status);
        }

        @Override
        public void content(ByteBuf part) {
            heard.add("content");
        }

        @Override
        public void complete(BodyEnd end) {
            heard.add("complete");
        }

        @Override
        public void failed(TransportException failure) {
            heard.add(failure.kind().code() + (failure.closedByPeer() ? " by the other side" : ""));
        }
    }

    @DataProvider
    Object[][] cuts() {
        List<Object[]> rows = new ArrayList<>();
        for (String framing : List.of(
                "Content-Length: 9\r\n",
                "Content-Length: 0\r\n",
                "Transfer-Encoding: chunked\r\n",
                "Connection: close\r\n",
                "",
                "Content-Type: text/event-stream\r\n")) {
            for (Before before : Before.values()) {
                for (End end : End.values()) {
                    rows.add(new Object[] {framing, before, end});
                }
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "cuts")
    public void anAnswerCutInsideItsHeadIsNone(String framing, Before before, End end) {
        String head = headOf("own", framing);
        for (int cut = 0; cut < head.length(); cut++) {
            for (boolean bytewise : new boolean[] {false, true}) {
                start(before);
                receive(head.substring(0, cut), bytewise);
                end(end);
                assertEquals(heard, List.of("reset by the other side"), "after " + cut + " bytes of " + head);
                assertFalse(channel.isOpen());
                channel.finishAndReleaseAll();
            }
        }
    }

    private static String headOf(String id, String framing) {
        return "HTTP/1.1 200 OK\r\n" + ID + ": " + id + "\r\n" + framing + "\r\n";
    }

    private void start(Before before) {
        heard.clear();
        channel = null;
        HttpClient client = new HttpClient(
                (loop, address, timeoutMs, listener) -> {
                    channel = new EmbeddedChannel();
                    listener.connected(channel);
                },
                AnswerLimits.DEFAULT);
        if (before == Before.ANSWERED_REQUEST) {
            send(client, "first");
            receive(headOf("first", "Content-Length: 0\r\n"), false);
            assertEquals(heard, List.of("head 200", "complete"));
        }
        EmbeddedChannel kept = channel;
        heard.clear();
        send(client, "own");
        assertTrue(kept == null || channel == kept, "the kept connection carries the second request");
        if (before == Before.INTERIM_ANSWER) {
            receive(INTERIM, false);
        }
    }

    private void send(HttpClient client, String id) {
        OutgoingRequest request =
                OutgoingRequest.post(ADDRESS, "/", new byte[0]).with(ID, id).identifiedBy(ID);
        EmbeddedChannel loopOf = channel == null ? new EmbeddedChannel() : channel;
        client.send(loopOf.eventLoop(), request, 100, new Recorder());
    }

    private void receive(String text, boolean bytewise) {
        int step = bytewise ? 1 : Math.max(1, text.length());
        for (int at = 0; at < text.length(); at += step) {
            channel.writeInbound(Unpooled.copiedBuffer(text.substring(at, at + step), StandardCharsets.US_ASCII));
        }
    }

    private void end(End end) {
        if (end == End.RESET) {
            channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        } else {
            channel.close();
        }
    }
}
