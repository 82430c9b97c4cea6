package org.wingstall.net.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;

/** A box that stood still does not take that for the silence of others. */
public class ReplyCollectorTest {
    private static final long TIMEOUT_MS = 250;

    /** Longer than any test takes, since the server itself answers a request that it has not read within its limit. */
    private static final int SERVER_TIMEOUT_MS = 60_000;

    private static final HttpLimits LIMITS = new HttpLimits(1024, 10, SERVER_TIMEOUT_MS, SERVER_TIMEOUT_MS);

    private EventLoopGroup servers;
    private EventLoopGroup callers;
    private EventLoop loop;
    private HttpServer server;
    private volatile boolean answers;

    @BeforeMethod
    public void start() throws BindException {
        answers = true;
        servers = EventLoops.group("server", 1);
        callers = EventLoops.group("caller", 1);
        loop = callers.next();
        server = HttpServer.start(
                servers, new InetSocketAddress("127.0.0.1", 0), LIMITS, this::answer, any -> new byte[0]);
    }

    private void answer(HttpCall call) {
        if (answers) {
            call.respond(200, "text/plain", new byte[] {'x'});
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        server.close();
        servers.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        callers.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<HttpReply> call() {
        return new HttpClient().call(loop, OutgoingRequest.get(server.address(), "/"), TIMEOUT_MS);
    }

    private static void standStill() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2 * TIMEOUT_MS));
    }

    /** Before, the timer ran before the loop had read the answer. */
    @Test
    public void anAnswerThatCameWhileTheLoopStoodStillCounts() {
        CompletableFuture<HttpReply> reply = call();
        loop.execute(ReplyCollectorTest::standStill);
        assertEquals(reply.join().status(), 200);
    }

    @Test
    public void silenceStillEndsACallAfterItsTime() {
        answers = false;
        long beganNs = System.nanoTime();
        CompletionException ended = expectThrows(CompletionException.class, () -> call().join());
        assertEquals(((TransportException) ended.getCause()).kind(), TransportException.Kind.TIMEOUT);
        assertEquals(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs) >= TIMEOUT_MS, true);
    }

    @Test
    public void aLoopThatStoodStillWaitsOnceMoreOnly() {
        answers = false;
        CompletableFuture<HttpReply> reply = call();
        loop.execute(ReplyCollectorTest::standStill);
        expectThrows(CompletionException.class, reply::join);
    }
}
