package org.wingstall.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import net.sourceforge.argparse4j.inf.Namespace;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.BodyEnd;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.net.http.ResponseListener;
import org.wingstall.net.http.TransportException;

/** Calls one address from a fixed number of connections, each as soon as the last answer came. */
final class DirectRun {
    private static final int THREADS = 2;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int WARMUP_SECONDS = 3;

    private final HttpClient client = new HttpClient();
    private final OutgoingRequest request;
    private final Histogram tookMicros = new ConcurrentHistogram(3);
    private final AtomicLong failed = new AtomicLong();
    private volatile boolean counting;
    private volatile boolean over;

    private DirectRun(OutgoingRequest request) {
        this.request = request;
    }

    static void run(Namespace options, PrintStream out) {
        InetSocketAddress target = Addresses.parse(options.getString("target"));
        byte[] body = options.getString("body").getBytes(StandardCharsets.UTF_8);
        DirectRun run = new DirectRun(OutgoingRequest.post(target, options.getString("path"), body));
        run.go(options.getInt("connections"), options.getInt("seconds"), out);
    }

    private void go(int connections, int seconds, PrintStream out) {
        EventLoopGroup group = EventLoops.group("direct", THREADS);
        for (int i = 0; i < connections; i++) {
            EventLoop loop = group.next();
            loop.execute(() -> call(loop));
        }
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(WARMUP_SECONDS));
        counting = true;
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(seconds));
        over = true;
        out.printf(
                "requests/s %.0f, p50 %.2f ms, p99 %.2f ms, failed %d%n",
                (double) tookMicros.getTotalCount() / seconds,
                tookMicros.getValueAtPercentile(50) / 1000.0,
                tookMicros.getValueAtPercentile(99) / 1000.0,
                failed.get());
    }

    private void call(EventLoop loop) {
        if (over) {
            return;
        }
        long beganNs = System.nanoTime();
        client.send(loop, request, CONNECT_TIMEOUT_MS, new ResponseListener() {
            private int status;

            @Override
            public void head(int code, HttpHeaders headers) {
                status = code;
            }

            @Override
            public void content(ByteBuf part) {
                // Only the time of the whole answer counts.
            }

            @Override
            public void complete(BodyEnd end) {
                if (counting && !over) {
                    tookMicros.recordValue((System.nanoTime() - beganNs) / 1000);
                    if (status != 200) {
                        failed.incrementAndGet();
                    }
                }
                loop.execute(() -> call(loop));
            }

            @Override
            public void failed(TransportException failure) {
                failed.incrementAndGet();
                loop.schedule(() -> call(loop), 10, TimeUnit.MILLISECONDS);
            }
        });
    }
}
