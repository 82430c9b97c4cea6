package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An answer to an earlier request was taken for that to the request that waited on its connection. */
public class ForeignAnswerTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 9);
    private static final String ID = "attempt";

    private final List<String> heard = new ArrayList<>();
    private final List<EmbeddedChannel> opened = new ArrayList<>();
    private HttpClient client;

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
            heard.add(failure.kind().code());
        }
    }

    @BeforeMethod
    public void start() {
        heard.clear();
        opened.clear();
        client = new HttpClient(
                (loop, address, timeoutMs, listener) -> {
                    EmbeddedChannel channel = new EmbeddedChannel();
                    opened.add(channel);
                    listener.connected(channel);
                },
                AnswerLimits.DEFAULT);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        opened.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    private EmbeddedChannel send(String id) {
        OutgoingRequest request = OutgoingRequest.post(ADDRESS, "/", new byte[0]);
        request = id == null
                ? request.over(ConnectionUse.OWN)
                : request.with(ID, id).identifiedBy(ID);
        EmbeddedChannel loopOf = opened.isEmpty() ? new EmbeddedChannel() : opened.get(0);
        client.send(loopOf.eventLoop(), request, 100, new Recorder());
        return opened.get(opened.size() - 1);
    }

    private static void answer(EmbeddedChannel channel, int status, String id) {
        String idLine = id == null ? "" : ID + ": " + id + "\r\n";
        String text = "HTTP/1.1 " + status + " Any\r\n" + idLine + "Content-Length: 2\r\n\r\nok";
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @DataProvider
    Object[][] statuses() {
        return new Object[][] {{200}, {400}, {408}, {421}, {429}, {500}, {503}};
    }

    @Test(dataProvider = "statuses")
    public void anAnswerToAnotherRequestClosesItsConnection(int status) {
        for (String id : new String[] {"other", null}) {
            heard.clear();
            EmbeddedChannel channel = send("own");
            answer(channel, status, id);
            assertEquals(heard, List.of("foreign"));
            assertFalse(channel.isOpen());
            opened.clear();
        }
    }

    @Test(dataProvider = "statuses")
    public void theAnswerToTheRequestIsRead(int status) {
        answer(send("own"), status, "own");
        assertEquals(heard, List.of("head " + status, "content", "complete"));
        assertTrue(opened.get(0).isOpen());
    }

    /** A refusal of the first try could come again in the place of the answer to the second one. */
    @Test
    public void aRequestThatIsSentAgainGetsAnotherConnection() {
        EmbeddedChannel first = send("own");
        answer(first, 503, "own");
        EmbeddedChannel second = send("next");
        assertSame(second, first);
        answer(second, 200, "next");
        assertNotSame(send("own"), first);
        assertTrue(first.isOpen());
    }

    /** Nothing tells a late answer to such a request from that to the next one. */
    @Test
    public void aConnectionWhoseAnswersNameNoRequestIsUsedOnce() {
        EmbeddedChannel channel = send(null);
        answer(channel, 200, null);
        assertEquals(heard, List.of("head 200", "content", "complete"));
        assertNotSame(send(null), channel);
    }

    @Test
    public void requestsOfTwoGroupsShareNoConnection() {
        EmbeddedChannel channel = send("own");
        answer(channel, 200, "own");
        OutgoingRequest other = OutgoingRequest.get(ADDRESS, "/").over(ConnectionUse.KEPT.within("reports"));
        client.send(channel.eventLoop(), other, 100, new Recorder());
        assertEquals(opened.size(), 2);
    }

    @Test
    public void interimAnswersCountAsNone() {
        EmbeddedChannel channel = send("own");
        channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 103 Early Hints\r\n\r\n", StandardCharsets.US_ASCII));
        assertEquals(heard, List.of());
        answer(channel, 200, "own");
        assertEquals(heard, List.of("head 200", "content", "complete"));
    }

    @Test
    public void bytesWhereNoAnswerIsDueCloseTheConnection() {
        EmbeddedChannel channel = send("own");
        answer(channel, 200, "own");
        channel.writeInbound(Unpooled.copiedBuffer("H", StandardCharsets.US_ASCII));
        assertFalse(channel.isOpen());
    }
}
