package org.wingstall.standin.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.net.EventLoops;

public class RouteTest {
    private static final int PASSED_WITHIN_MS = 5000;
    private static final int SILENT_FOR_MS = 200;

    private final EventLoopGroup group = EventLoops.group("route-test", 1);
    private ServerSocket target;
    private Route route;

    @BeforeMethod
    public void open() throws Exception {
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        route = Route.open(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                new InetSocketAddress("127.0.0.1", target.getLocalPort()));
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        route.refuseConnections();
        target.close();
    }

    @Test
    public void openConnectionsStaySilentAndNewOnesWork() throws Exception {
        try (Socket client = connect();
                Socket server = target.accept()) {
            assertPasses(client, server);
            assertPasses(server, client);
            route.set(Faults.NONE.withSilentOpen());
            assertSilent(client, server);
            assertSilent(server, client);
            try (Socket next = connect();
                    Socket nextServer = target.accept()) {
                route.set(Faults.NONE);
                assertPasses(next, nextServer);
                assertPasses(nextServer, next);
            }
            assertSilent(client, server);
            server.close();
            assertThrows(
                    SocketTimeoutException.class, () -> client.getInputStream().read());
        }
    }

    private Socket connect() throws IOException {
        Socket client =
                new Socket(InetAddress.getLoopbackAddress(), route.address().getPort());
        client.setSoTimeout(SILENT_FOR_MS);
        return client;
    }

    private static void assertPasses(Socket from, Socket to) throws IOException {
        to.setSoTimeout(PASSED_WITHIN_MS);
        from.getOutputStream().write('x');
        assertEquals(to.getInputStream().read(), 'x');
    }

    private static void assertSilent(Socket from, Socket to) throws IOException {
        to.setSoTimeout(SILENT_FOR_MS);
        from.getOutputStream().write('x');
        assertThrows(SocketTimeoutException.class, () -> to.getInputStream().read());
    }
}
