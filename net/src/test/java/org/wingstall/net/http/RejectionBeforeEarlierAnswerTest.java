package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.net.EventLoops;

/** The rejection of a request came before the answer to an earlier one on its connection, and was taken for that. */
public class RejectionBeforeEarlierAnswerTest {
    private static final HttpLimits LIMITS = new HttpLimits(1000, 10, 50, 60_000);
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: box\r\n\r\n";
    private static final String ANSWER = "own\r\n";
    private static final int WAIT_MS = 5000;

    private final EventLoopGroup group = EventLoops.group("rejection-test", 1);
    private final BlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Rejection> rejections = new LinkedBlockingQueue<>();
    private HttpServer server;

    @BeforeMethod
    public void start() throws Exception {
        calls.clear();
        rejections.clear();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.start(group, any, LIMITS, calls::add, rejection -> {
            rejections.add(rejection);
            return new byte[0];
        });
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        server.abort();
    }

    @DataProvider
    Object[][] rejected() {
        Object[][] reasons = {
            {"no HTTP\r\n\r\n", Rejection.BAD_HTTP},
            {"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", Rejection.BODY_TOO_LARGE},
            {"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n", Rejection.SLOW_REQUEST},
            {"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", Rejection.SLOW_REQUEST},
        };
        List<Object[]> cases = new ArrayList<>();
        for (Object[] reason : reasons) {
            for (int earlier = 0; earlier <= 2; earlier++) {
                cases.add(new Object[] {reason[0], reason[1], earlier, false});
                cases.add(new Object[] {reason[0], reason[1], earlier, true});
            }
        }
        return cases.toArray(new Object[0][]);
    }

    @Test(dataProvider = "rejected")
    public void earlierRequestsGetTheirAnswersBefore(String request, Rejection reason, int earlier, boolean streamed)
            throws Exception {
        try (Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            socket.setSoTimeout(WAIT_MS);
            send(socket, REQUEST.repeat(earlier));
            HttpCall call = earlier == 0 ? null : calls.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            send(socket, request);
            assertEquals(rejections.poll(WAIT_MS, TimeUnit.MILLISECONDS), reason);
            for (int i = 0; i < earlier; i++) {
                answer(call, streamed);
                call = i + 1 < earlier ? calls.poll(WAIT_MS, TimeUnit.MILLISECONDS) : null;
            }
            String read = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertEquals(statuses(read), expected(earlier, reason.status()), read);
            assertTrue(read.lastIndexOf(ANSWER) < read.lastIndexOf("HTTP/1.1 " + reason.status()), read);
        }
    }

    private static void send(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void answer(HttpCall call, boolean streamed) {
        byte[] content = ANSWER.getBytes(StandardCharsets.US_ASCII);
        call.eventLoop().execute(() -> {
            if (streamed) {
                call.begin(200, new DefaultHttpHeaders());
                call.part(Unpooled.wrappedBuffer(content));
                call.end();
            } else {
                call.respond(200, "text/plain", content);
            }
        });
    }

    private static List<Integer> statuses(String read) {
        List<Integer> statuses = new ArrayList<>();
        for (String line : read.split("\r\n")) {
            if (line.startsWith("HTTP/1.1 ") && !line.startsWith("HTTP/1.1 100")) {
                statuses.add(Integer.parseInt(line.split(" ")[1]));
            }
        }
        return statuses;
    }

    private static List<Integer> expected(int answers, int rejection) {
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < answers; i++) {
            statuses.add(200);
        }
        statuses.add(rejection);
        return statuses;
    }
}
