package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Heads that are no HTTP were passed on as answers: status 000, or a header whose name holds a blank. */
public class MalformedAnswerHeadTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 9);
    private static final String SOUND = "HTTP/1.1 200 OK\r\n";
    private static final String END = "Content-Length: 4\r\n\r\nbody";
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    private final List<String> heard = new ArrayList<>();
    private EmbeddedChannel channel;
    private HttpClient client;

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

    /** Status lines, with reserved characters encoded. */
    @DataProvider
    Object[][] statusLines() {
        return rows(
                "HTTP/1.1 000 OK",
                "HTTP/1.1 000",
                "HTTP/1.1 000 X",
                "HTTP/1.1 099 X",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2 00",
                "HTTP/1.1 600 X",
                "HTTP/1.1 999 X",
                "HTTP/1.1 1000 X",
                "HTTP/1.1 %2B200 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 -20 OK",
                "HTTP/1.1 2x0 OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1%09200 OK",
                " HTTP/1.1 200 OK",
                "%0D%0AHTTP/1.1 200 OK",
                "%00HTTP/1.1 200 OK",
                "HTTP/1.1 200%00OK",
                "HTTP/1.1 200 O%01K",
                "HTTP/2.0 200 OK",
                "HTTP/1 200 OK",
                "HTTP/11 200 OK",
                "http/1.1 200 OK",
                "ICY 200 OK",
                "200 OK",
                "HTTP/1.1",
                "garbage");
    }

    /** Lines of a head, with reserved characters encoded. */
    @DataProvider
    Object[][] fields() {
        return rows(
                "Bad Name: x",
                "Bad%09Name: x",
                "Content Length: 3",
                "Content-Length : 3",
                "Content-Length%09: 3",
                "Transfer Encoding: chunked",
                "Transfer-Encoding : chunked",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: chunked, gzip",
                "Bad%00Name: x",
                "Bad%01: x",
                "Bad%0B: x",
                "Bad%1F: x",
                "Bad%7F: x",
                "B%C3%A4d: x",
                "Bad(: x",
                ": x",
                " : x",
                "no colon",
                " folded: x",
                "%09folded",
                "Bad: x%00y",
                "Bad: x%01y",
                "Bad: x%0Dy",
                "Bad: x%7Fy",
                "Content-Length: %2B3",
                "Content-Length: 3x");
    }

    private static Object[][] rows(String... cases) {
        Object[][] rows = new Object[cases.length][];
        for (int i = 0; i < cases.length; i++) {
            rows[i] = new Object[] {cases[i]};
        }
        return rows;
    }

    @Test(dataProvider = "statusLines")
    public void anAnswerWithAMalformedStatusLineIsNone(String encoded) {
        assertRefused(QueryStringDecoder.decodeComponent(encoded) + "\r\n" + END);
    }

    @Test(dataProvider = "fields")
    public void anAnswerWithAMalformedHeaderIsNone(String encoded) {
        String line = QueryStringDecoder.decodeComponent(encoded) + "\r\n";
        assertRefused(SOUND + "First: x\r\n" + line + END);
        assertRefused(SOUND + line + END);
    }

    @DataProvider
    Object[][] lengths() {
        return rows(
                "Content-Length : 3",
                "Content-Length%09: 3",
                "Content Length: 3",
                "Content-Length: %2B3",
                "Content-Length:");
    }

    @Test(dataProvider = "lengths")
    public void anAnswerWithAMalformedLengthIsNone(String encoded) {
        assertRefused(SOUND + QueryStringDecoder.decodeComponent(encoded) + "\r\n\r\nbody");
    }

    private void assertRefused(String answer) {
        for (boolean bytewise : new boolean[] {false, true}) {
            for (boolean interim : new boolean[] {false, true}) {
                for (boolean kept : new boolean[] {false, true}) {
                    start(kept);
                    receive(interim ? INTERIM : "", bytewise);
                    receive(answer, bytewise);
                    assertEquals(heard, List.of("protocol"), answer);
                    assertFalse(channel.isOpen());
                    channel.finishAndReleaseAll();
                }
            }
        }
    }

    @DataProvider
    Object[][] soundHeads() {
        return rows(
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200",
                "HTTP/1.0 200 Fine%09so",
                "HTTP/1.1 200 OK%0D%0AEmpty:",
                "HTTP/1.1 200 OK%0D%0A!%23$%25%26'*%2B-.^_`|~09aZ: x",
                "HTTP/1.1 200 OK%0D%0AText: %09a b%09%E4 ");
    }

    @Test(dataProvider = "soundHeads")
    public void aSoundAnswerIsPassedOn(String encoded) {
        String head = QueryStringDecoder.decodeComponent(encoded, StandardCharsets.ISO_8859_1);
        for (boolean bytewise : new boolean[] {false, true}) {
            start(true);
            receive(INTERIM, bytewise);
            receive(head + "\r\n" + END, bytewise);
            assertEquals(heard.get(0), "head 200");
            assertEquals(heard.get(heard.size() - 1), "complete");
            channel.finishAndReleaseAll();
        }
    }

    @Test
    public void eachStatusThatHttpKnowsIsPassedOn() {
        for (int status = 200; status < 600; status++) {
            start(false);
            receive("HTTP/1.1 " + status + " X\r\n" + END, false);
            assertEquals(heard.get(0), "head " + status);
            channel.finishAndReleaseAll();
        }
    }

    private void start(boolean kept) {
        channel = null;
        client = new HttpClient(
                (loop, address, timeoutMs, listener) -> {
                    channel = new EmbeddedChannel();
                    listener.connected(channel);
                },
                AnswerLimits.DEFAULT);
        send();
        if (kept) {
            receive(SOUND + END, false);
            send();
        }
        heard.clear();
    }

    private void send() {
        OutgoingRequest request = OutgoingRequest.get(ADDRESS, "/");
        EmbeddedChannel loopOf = channel == null ? new EmbeddedChannel() : channel;
        client.send(loopOf.eventLoop(), request, 100, new Recorder());
    }

    private void receive(String text, boolean bytewise) {
        int step = bytewise ? 1 : Math.max(1, text.length());
        for (int at = 0; at < text.length() && channel.isOpen(); at += step) {
            channel.writeInbound(Unpooled.copiedBuffer(text.substring(at, at + step), StandardCharsets.ISO_8859_1));
        }
    }
}
