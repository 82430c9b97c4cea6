package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.net.EventLoops;

/** A server that drained its connections handled requests that it did not answer, and dropped the end of answers. */
public class ServerDrainTest {
    private static final int IDLE_MS = 400;
    private static final HttpLimits LIMITS = new HttpLimits(1000, 10, 5000, IDLE_MS);
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: box\r\n\r\n";
    private static final int WAIT_MS = 5000;
    private static final int NONE_WITHIN_MS = 300;

    /** More than the buffers of a connection take, in bytes. */
    private static final int LONG_BODY = 24 << 20;

    private final EventLoopGroup group = EventLoops.group("drain-test", 1);
    private final BlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();
    private HttpServer server;

    /** How connections are told to end. */
    enum End {
        AFTER_ANSWERS(HttpServer::closeAfterAnswers),
        DRAIN(HttpServer::drain);

        private final Consumer<HttpServer> action;

        End(Consumer<HttpServer> action) {
            this.action = action;
        }
    }

    @BeforeMethod
    public void start() throws Exception {
        calls.clear();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.start(group, any, LIMITS, calls::add, rejection -> new byte[0]);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        server.abort();
    }

    @DataProvider
    Object[][] ends() {
        return new Object[][] {{End.AFTER_ANSWERS}, {End.DRAIN}};
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(65_536);
        socket.connect(server.address());
        socket.setSoTimeout(WAIT_MS);
        return socket;
    }

    private static void send(Socket socket, int requests) throws IOException {
        socket.getOutputStream().write(REQUEST.repeat(requests).getBytes(StandardCharsets.US_ASCII));
    }

    private HttpCall next() throws InterruptedException {
        HttpCall call = calls.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(call, "a request that was sent is handled");
        return call;
    }

    private static void answer(HttpCall call, byte[] body) {
        call.eventLoop().execute(() -> call.respond(200, new DefaultHttpHeaders(), body));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test(dataProvider = "ends")
    public void requestsThatWaitBehindAnotherAreAnswered(End end) throws Exception {
        try (Socket socket = connect()) {
            send(socket, 3);
            HttpCall call = next();
            end.action.accept(server);
            for (int i = 0; i < 3; i++) {
                answer(call, new byte[0]);
                call = i < 2 ? next() : null;
            }
            String[] answers = readAll(socket).split("HTTP/1.1 200 OK");
            assertEquals(answers.length, 4);
            assertTrue(!answers[1].contains("close") && !answers[2].contains("close"), answers[1] + answers[2]);
            assertTrue(answers[3].contains("connection: close"), answers[3]);
        }
    }

    @Test(dataProvider = "ends")
    public void aRequestThatComesAfterTheEndWasAnnouncedIsNotHandled(End end) throws Exception {
        try (Socket socket = connect()) {
            send(socket, 1);
            HttpCall call = next();
            end.action.accept(server);
            call.eventLoop()
                    .submit(() -> call.begin(200, new DefaultHttpHeaders()))
                    .sync();
            send(socket, 1);
            assertNull(calls.poll(NONE_WITHIN_MS, TimeUnit.MILLISECONDS));
            call.eventLoop().execute(call::end);
            assertNull(calls.poll(NONE_WITHIN_MS, TimeUnit.MILLISECONDS));
        }
    }

    private static int readSlowly(Socket socket, int steps) throws IOException {
        InputStream in = socket.getInputStream();
        int length = 0;
        for (int i = 0; i < steps; i++) {
            length += in.readNBytes(500_000).length;
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
        }
        return length + in.readAllBytes().length;
    }

    @Test(dataProvider = "ends")
    public void anAnswerThatIsReadSlowlyIsSentWhole(End end) throws Exception {
        try (Socket socket = connect()) {
            send(socket, 1);
            answer(next(), new byte[LONG_BODY]);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
            end.action.accept(server);
            // A server that only stops taking requests keeps the connection until it is idle.
            int length = readSlowly(socket, 5);
            assertTrue(length > LONG_BODY, length + " bytes");
        }
    }

    @Test
    public void aClientThatReadsForLongerThanTheIdleTimeGetsItsAnswer() throws Exception {
        try (Socket socket = connect()) {
            send(socket, 1);
            answer(next(), new byte[LONG_BODY]);
            int length = readSlowly(socket, 3 * IDLE_MS / 100);
            assertTrue(length > LONG_BODY, length + " bytes");
        }
    }

    @Test
    public void aClientThatReadsNothingIsGivenUp() throws Exception {
        try (Socket socket = connect()) {
            send(socket, 1);
            answer(next(), new byte[LONG_BODY]);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(4 * IDLE_MS));
            assertEquals(server.connections(), 0);
        }
    }
}
