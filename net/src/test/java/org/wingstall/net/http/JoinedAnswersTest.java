package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;
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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The start of a surplus answer and the whole answer after it were read as one, with the status of the first. */
public class JoinedAnswersTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 9);
    private static final String ID = "attempt";
    private static final String EARLIER = "earlier";
    private static final String OWN = "own";

    private final List<EmbeddedChannel> opened = new ArrayList<>();
    private final HttpClient client = new HttpClient(
            (loop, address, timeoutMs, listener) -> {
                EmbeddedChannel channel = new EmbeddedChannel();
                opened.add(channel);
                listener.connected(channel);
            },
            AnswerLimits.DEFAULT);

    /** When the start of the surplus answer comes. */
    enum Arrival {
        WITH_EARLIER_ANSWER,
        BEFORE_OWN_ANSWER,
        WITH_OWN_ANSWER
    }

    /** Keeps what its exchange hears. */
    private static final class Recorder implements ResponseListener {
        private final StringBuilder body = new StringBuilder();
        private int status;
        private String seal;
        private boolean whole;

        @Override
        public void head(int answeredStatus, HttpHeaders headers) {
            status = answeredStatus;
            seal = headers.get("seal");
        }

        @Override
        public void content(ByteBuf part) {
            body.append(part.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void complete(BodyEnd end) {
            whole = true;
        }

        @Override
        public void failed(TransportException failure) {
            whole = false;
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        opened.forEach(EmbeddedChannel::finishAndReleaseAll);
        opened.clear();
    }

    private EmbeddedChannel send(String id, Recorder recorder) {
        EmbeddedChannel loopOf = opened.isEmpty() ? new EmbeddedChannel() : opened.get(0);
        OutgoingRequest request = OutgoingRequest.get(ADDRESS, "/").with(ID, id).identifiedBy(ID);
        client.send(loopOf.eventLoop(), request, 100, recorder);
        return opened.stream()
                .filter(channel -> !channel.outboundMessages().isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static void receive(EmbeddedChannel channel, String text) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }
    }

    private static String answer(int status, String id, boolean idFirst, boolean chunked) {
        String body = "body of " + id;
        String identity = ID + ": " + id + "\r\nseal: seal of " + id + "\r\n";
        String other = "Content-Type: text/plain\r\n";
        String framing = chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + body.length() + "\r\n";
        String framed = chunked ? Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n" : body;
        return "HTTP/1.1 " + status + " Any reason\r\n" + (idFirst ? identity + other : other + identity) + framing
                + "\r\n" + framed;
    }

    @DataProvider
    Object[][] surplusAnswers() {
        List<Object[]> cases = new ArrayList<>();
        for (Arrival arrival : Arrival.values()) {
            for (boolean idFirst : new boolean[] {true, false}) {
                for (boolean chunked : new boolean[] {true, false}) {
                    cases.add(new Object[] {arrival, 200, 500, idFirst, chunked});
                    cases.add(new Object[] {arrival, 500, 200, idFirst, chunked});
                }
            }
        }
        return cases.toArray(new Object[0][]);
    }

    @Test(dataProvider = "surplusAnswers")
    public void anAnswerIsReadWithItsOwnStatusAfterTheStartOfASurplusOne(
            Arrival arrival, int surplusStatus, int ownStatus, boolean idFirst, boolean chunked) {
        String surplus = answer(surplusStatus, EARLIER, idFirst, chunked);
        List<String> wrong = new ArrayList<>();
        for (int cut = 0; cut < surplus.length(); cut++) {
            Recorder own = play(arrival, surplus.substring(0, cut), answer(ownStatus, OWN, idFirst, chunked));
            boolean right = !own.whole && arrival != Arrival.WITH_EARLIER_ANSWER
                    || own.status == ownStatus
                            && ("body of " + OWN).contentEquals(own.body)
                            && ("seal of " + OWN).equals(own.seal);
            if (!right || cut == 0 && !own.whole) {
                wrong.add(cut + ": " + own.status + " " + own.seal + " " + own.body);
            }
            stop();
        }
        assertEquals(String.join("\n", wrong), "");
    }

    private Recorder play(Arrival arrival, String surplusStart, String ownAnswer) {
        Recorder earlier = new Recorder();
        EmbeddedChannel first = send(EARLIER, earlier);
        first.outboundMessages().clear();
        String earlierAnswer = answer(200, EARLIER, true, false);
        receive(first, arrival == Arrival.WITH_EARLIER_ANSWER ? earlierAnswer + surplusStart : earlierAnswer);
        assertTrue(earlier.whole);
        Recorder own = new Recorder();
        EmbeddedChannel used = send(OWN, own);
        if (arrival == Arrival.BEFORE_OWN_ANSWER) {
            receive(used, surplusStart);
        }
        receive(used, arrival == Arrival.WITH_OWN_ANSWER ? surplusStart + ownAnswer : ownAnswer);
        return own;
    }
}
