package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.net.EventLoops;

/** HTTP/1.0 callers got chunks, which they don't know, and a stream broken off looked complete to them. */
public class EarlierHttpCallerTest {
    private static final HttpLimits LIMITS = new HttpLimits(1 << 20, 1000, 10_000, 60_000);
    private static final String EVENT = "data: a\n\n";
    private static final long ABORT_AFTER_MS = 50;

    private final EventLoopGroup group = EventLoops.group("earlier-http", 1);
    private HttpServer server;

    @BeforeClass
    public void start() throws Exception {
        server = HttpServer.start(
                group, new InetSocketAddress("127.0.0.1", 0), LIMITS, this::stream, rejection -> new byte[0]);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        server.close();
        group.shutdownGracefully();
    }

    private void stream(HttpCall call) {
        call.begin(200, new DefaultHttpHeaders());
        call.part(Unpooled.copiedBuffer(EVENT, StandardCharsets.US_ASCII));
        Runnable end = call.path().equals("/broken") ? call::abort : call::end;
        call.eventLoop().schedule(end, ABORT_AFTER_MS, TimeUnit.MILLISECONDS);
    }

    @DataProvider
    Object[][] callers() {
        return new Object[][] {
            {"/whole", "", true}, {"/broken", "", false}, {"/whole", "Connection: keep-alive\r\n", true}
        };
    }

    @Test(dataProvider = "callers")
    public void aStreamThatWasBrokenOffIsReset(String path, String header, boolean whole) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
            String request = "GET " + path + " HTTP/1.0\r\n" + header + "\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            assertEquals(readToOrderlyEnd(socket, answer), whole);
            String text = answer.toString(StandardCharsets.US_ASCII);
            assertFalse(text.toLowerCase().contains("chunked"), text);
            assertTrue(text.endsWith("\r\n\r\n" + EVENT), text);
        }
    }

    private static boolean readToOrderlyEnd(Socket socket, ByteArrayOutputStream answer) throws IOException {
        try {
            int next = socket.getInputStream().read();
            while (next >= 0) {
                answer.write(next);
                next = socket.getInputStream().read();
            }
            return true;
        } catch (SocketException e) {
            return false;
        }
    }
}
