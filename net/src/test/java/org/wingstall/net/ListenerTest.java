package org.wingstall.net;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.net.http.HttpLimits;
import org.wingstall.net.http.HttpServer;

public class ListenerTest {
    private static final HttpLimits LIMITS = new HttpLimits(1000, 10, 2000, 60_000);
    private static final String REQUEST = "GET /early HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n";

    private EventLoopGroup group;
    private Listener listener;

    @BeforeMethod
    public void bind() throws BindException {
        group = EventLoops.group("listener-test", 1);
        listener = Listener.bind(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        listener.close();
        group.shutdownGracefully();
    }

    /** A process that starts takes its callers' connections late: they are served then, not turned away before. */
    @Test
    public void aRequestThatCameBeforeTheServerIsAnsweredByIt() throws IOException {
        try (Socket early =
                new Socket(listener.address().getAddress(), listener.address().getPort())) {
            early.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            HttpServer server = new HttpServer(
                    listener,
                    () -> LIMITS,
                    call -> call.respond(200, "text/plain", new byte[0]),
                    rejection -> new byte[0],
                    ConnectionGate.OPEN);
            server.accept();
            byte[] head = early.getInputStream().readNBytes("HTTP/1.1 200".length());
            assertEquals(new String(head, StandardCharsets.US_ASCII), "HTTP/1.1 200");
        }
    }

    @Test(expectedExceptions = BindException.class)
    public void anAddressThatIsTakenIsReported() throws BindException {
        Listener.bind(group, listener.address()).close();
    }
}
