package org.wingstall.standin.proxy;

import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A cut could not be brought about while the port that was just closed was still held. */
public class UnansweredPortTest {
    private static final long HELD_MS = 200;

    @Test
    public void aPortThatIsHeldForAMomentIsTakenThen() throws Exception {
        ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        CompletableFuture.delayedExecutor(HELD_MS, TimeUnit.MILLISECONDS).execute(() -> close(holder));
        UnansweredPort.open((InetSocketAddress) holder.getLocalSocketAddress()).close();
    }

    @Test
    public void aPortThatStaysHeldIsAFailure() throws Exception {
        try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) holder.getLocalSocketAddress();
            expectThrows(BindException.class, () -> UnansweredPort.open(address));
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
