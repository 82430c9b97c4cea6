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
        public void surplusAnswer(int status) {
            heard.add("surplus " + status);
        }

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
        receive(channel, status, id, "Content-Length: 2\r\n\r\nok");
    }

    private static void receive(EmbeddedChannel channel, int status, String id, String rest) {
        String idLine = id == null ? "" : ID + ": " + id + "\r\n";
        String text = "HTTP/1.1 " + status + " Any\r\n" + idLine + rest;
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Opens a connection on which requests with these identifiers were answered. */
    private EmbeddedChannel answered(String... ids) {
        EmbeddedChannel channel = null;
        for (String id : ids) {
            channel = send(id);
            answer(channel, 200, id);
        }
        heard.clear();
        return channel;
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

    /** A request was sent to a second endpoint while the first one still worked on it. */
    @Test(dataProvider = "statuses")
    public void anAnswerThatComesOnceMoreIsSkippedAndTheRequestGetsItsOwn(int status) {
        EmbeddedChannel channel = answered("first", "second");
        assertSame(send("own"), channel);
        answer(channel, status, "second");
        answer(channel, status, "first");
        assertEquals(heard, List.of("surplus " + status, "surplus " + status));
        answer(channel, 200, "own");
        assertEquals(heard.subList(2, heard.size()), List.of("head 200", "content", "complete"));
        assertSame(send("next"), channel);
    }

    @DataProvider
    Object[][] surplusBodies() {
        return new Object[][] {
            {"Content-Length: 0\r\n\r\n"},
            {"Content-Length: 5\r\n\r\nwhole"},
            {"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"},
            {"Transfer-Encoding: chunked\r\n\r\n0\r\nTrailer: any\r\n\r\n"},
        };
    }

    @Test(dataProvider = "surplusBodies")
    public void theBodyOfASurplusAnswerIsSkippedInParts(String rest) {
        EmbeddedChannel channel = answered("first");
        send("own");
        String text = "HTTP/1.1 200 Any\r\n" + ID + ": first\r\n" + rest;
        for (byte each : text.getBytes(StandardCharsets.US_ASCII)) {
            channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {each}));
        }
        answer(channel, 200, "own");
        assertEquals(heard, List.of("surplus 200", "head 200", "content", "complete"));
    }

    @DataProvider
    Object[][] answersThatCannotBeSkipped() {
        return new Object[][] {
            {"an identifier that the connection never carried", "other", "Content-Length: 0\r\n\r\n"},
            {"no identifier", null, "Content-Length: 0\r\n\r\n"},
            {"no end but that of the connection", "first", "\r\n"},
            {"the last one of the connection", "first", "Connection: close\r\nContent-Length: 0\r\n\r\n"},
        };
    }

    @Test(dataProvider = "answersThatCannotBeSkipped")
    public void anyOtherAnswerClosesItsConnection(String why, String id, String rest) {
        EmbeddedChannel channel = answered("first");
        send("own");
        receive(channel, 503, id, rest);
        assertEquals(heard, List.of("foreign"), why);
        assertFalse(channel.isOpen(), why);
    }

    @Test
    public void aThirdAnswerToARequestClosesItsConnection() {
        EmbeddedChannel channel = answered("first");
        send("own");
        answer(channel, 503, "first");
        answer(channel, 503, "first");
        assertEquals(heard, List.of("surplus 503", "foreign"));
        assertFalse(channel.isOpen());
    }

    @Test
    public void aSurplusAnswerIsNeverWithoutEnd() {
        EmbeddedChannel channel = answered("first");
        send("own");
        receive(channel, 200, "first", "Transfer-Encoding: chunked\r\n\r\n");
        String part = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
        for (long bytes = 0; bytes <= AnswerLimits.DEFAULT.maxBodyBytes(); bytes += 0x8000) {
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
        }
        assertEquals(heard, List.of("surplus 200", "protocol"));
        assertFalse(channel.isOpen());
    }

    /** The codec would take the answer to the other method as one without a body, or the reverse. */
    @Test
    public void aConnectionThatCarriedARequestForAHeadSkipsNoAnswer() {
        OutgoingRequest head = new OutgoingRequest(
                ADDRESS,
                "HEAD",
                "/",
                OutgoingRequest.get(ADDRESS, "/").headers(),
                new byte[0],
                ConnectionUse.KEPT,
                null);
        EmbeddedChannel channel = answered("first");
        client.send(channel.eventLoop(), head.with(ID, "own").identifiedBy(ID), 100, new Recorder());
        answer(channel, 503, "first");
        assertEquals(heard, List.of("foreign"));
    }
}
