package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.net.BindException;
import org.wingstall.net.ConnectionGate;
import org.wingstall.net.EventLoops;
import org.wingstall.net.Listener;

/** Connections that a gate turns away are reset unread, and kept ones end with their next answer while it is overloaded. */
public class ConnectionGateTest {
    private static final HttpLimits LIMITS = new HttpLimits(1000, 10, 2000, 60_000);
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: box\r\n\r\n";

    private final EventLoopGroup group = EventLoops.group("gate-test", 1);
    private final AtomicInteger handled = new AtomicInteger();
    private HttpServer server;

    private record FixedGate(boolean admits, boolean overloaded) implements ConnectionGate {
        @Override
        public boolean admit(Channel connection) {
            return admits;
        }
    }

    private Socket connect(ConnectionGate gate) throws IOException, BindException {
        Listener listener = Listener.bind(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server = new HttpServer(listener, () -> LIMITS, this::answer, rejection -> new byte[0], gate);
        server.accept();
        return new Socket(server.address().getAddress(), server.address().getPort());
    }

    private void answer(HttpCall call) {
        handled.incrementAndGet();
        call.respond(200, "text/plain", new byte[0]);
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        server.abort();
        handled.set(0);
    }

    /** Whether the gate is overloaded, and answers before the connection ends. */
    @DataProvider
    Object[][] loads() {
        return new Object[][] {{false, 2}, {true, 1}};
    }

    @Test(dataProvider = "loads")
    public void aConnectionEndsWithAnAnswerThatSaysSo(boolean overloaded, int answers) throws Exception {
        try (Socket socket = connect(new FixedGate(true, overloaded))) {
            socket.getOutputStream().write((REQUEST + REQUEST).getBytes(StandardCharsets.US_ASCII));
            if (!overloaded) {
                socket.shutdownOutput();
            }
            String read = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertEquals(read.split("HTTP/1.1 200", -1).length - 1, answers, read);
            assertEquals(read.contains("connection: close"), overloaded, read);
        }
    }

    @Test(expectedExceptions = SocketException.class)
    public void aConnectionThatIsNotAdmittedIsReset() throws Exception {
        try (Socket socket = connect(new FixedGate(false, true))) {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().read();
        } finally {
            assertEquals(handled.get(), 0);
        }
    }
}
