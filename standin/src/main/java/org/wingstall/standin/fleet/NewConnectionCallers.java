package org.wingstall.standin.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.BodyEnd;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.HttpExchange;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.net.http.ResponseListener;
import org.wingstall.net.http.TransportException;

/**
 * Callers that open a connection for each request. A balancer hands their first tries to one box; a caller whose first try
 * fails tries once more at another box, within the same deadline.
 *
 * <p>{@code List<NewConnectionCallers.Call> calls = callers.send(plan, 200, 5000);}
 *
 * @since 0.18
 */
public final class NewConnectionCallers implements AutoCloseable {
    private static final int OK = 200;

    /** Longest wait for a connection, in ms. */
    private static final int CONNECT_MS = 1000;

    /** Text of the system's error for a connection that was closed with unread bytes. */
    private static final String RESET = "Connection reset";

    private final EventLoopGroup group = EventLoops.group("new-connection-callers", 1);
    private final HttpClient client = new HttpClient();
    private final AtomicInteger ids = new AtomicInteger();
    private final String name;

    /** How a try ended. */
    public enum Outcome {
        /** A success came whole before the deadline. */
        SERVED,
        /** Another answer came, or none before the deadline. */
        FAILED,
        /** The connection was refused, or closed with the request unread. */
        UNREAD
    }

    /**
     * Where requests go.
     *
     * @param firstAddress address of the first try
     * @param secondAddress address of the second try
     * @param routes routes that are called in turn
     * @param deadlineMs time that a caller waits, in ms
     */
    public record Plan(String firstAddress, String secondAddress, List<String> routes, long deadlineMs) {}

    /**
     * A request with its tries.
     *
     * @param sentMs when it was sent, in ms since {@link System#nanoTime}'s origin
     * @param first how the first try ended
     * @param firstTookMs time that the first try took, in ms
     * @param last how the last try ended
     */
    public record Call(long sentMs, Outcome first, long firstTookMs, Outcome last) {
        boolean served() {
            return last == Outcome.SERVED;
        }

        boolean readAtAnyTry() {
            return first != Outcome.UNREAD || last != Outcome.UNREAD;
        }
    }

    /**
     * Counts of calls.
     *
     * @param sent requests
     * @param read requests whose first try was read, or had been neither read nor closed by the deadline
     * @param servedFirst requests that were served at the first try
     * @param readAtLast requests that were read at any try
     * @param served requests that were served at any try
     */
    public record Counts(int sent, int read, int servedFirst, int readAtLast, int served) {
        /** Counts calls. */
        public static Counts of(List<Call> calls) {
            return new Counts(
                    calls.size(),
                    count(calls, call -> call.first() != Outcome.UNREAD),
                    count(calls, call -> call.first() == Outcome.SERVED),
                    count(calls, Call::readAtAnyTry),
                    count(calls, Call::served));
        }

        private static int count(List<Call> calls, Function<Call, Boolean> condition) {
            return (int) calls.stream().filter(condition::apply).count();
        }

        /** Returns the share of first tries that were served among those that were read. */
        public double servedOfRead() {
            return read == 0 ? 0 : (double) servedFirst / read;
        }
    }

    /** One try: an exchange that ends once. */
    private final class Try implements ResponseListener {
        private final long beganMs = nowMs();
        private final CompletableFuture<Outcome> ended = new CompletableFuture<>();
        private int status;
        private HttpExchange exchange;

        void start(EventLoop loop, OutgoingRequest request, long withinMs) {
            Future<?> timer = loop.schedule(this::expire, withinMs, TimeUnit.MILLISECONDS);
            ended.whenComplete((outcome, failure) -> timer.cancel(false));
            exchange = client.send(loop, request, CONNECT_MS, this);
        }

        private void expire() {
            exchange.cancel();
            ended.complete(Outcome.FAILED);
        }

        @Override
        public void head(int code, HttpHeaders headers) {
            status = code;
        }

        @Override
        public void content(ByteBuf part) {}

        @Override
        public void complete(BodyEnd end) {
            ended.complete(status == OK ? Outcome.SERVED : Outcome.FAILED);
        }

        @Override
        public void failed(TransportException failure) {
            boolean unread = !failure.requestWritten()
                    || status == 0 && failure.getMessage().contains(RESET);
            ended.complete(unread ? Outcome.UNREAD : Outcome.FAILED);
        }
    }

    /** Creates callers whose requests have identifiers that begin with a name. */
    public NewConnectionCallers(String name) {
        this.name = name;
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Sends requests at a steady rate and waits for the end of all.
     *
     * @param plan where they go
     * @param perSecond requests a second
     * @param forMs time for which they are sent, in ms
     */
    public List<Call> send(Plan plan, int perSecond, long forMs) {
        List<CompletableFuture<Call>> calls = new ArrayList<>();
        long beganNs = System.nanoTime();
        long count = perSecond * forMs / TimeUnit.SECONDS.toMillis(1);
        for (int i = 0; i < count; i++) {
            long dueNs = beganNs + i * TimeUnit.SECONDS.toNanos(1) / perSecond;
            LockSupport.parkNanos(dueNs - System.nanoTime());
            calls.add(call(plan, plan.routes().get(i % plan.routes().size())));
        }
        return calls.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<Call> call(Plan plan, String route) {
        EventLoop loop = group.next();
        CompletableFuture<Call> call = new CompletableFuture<>();
        loop.execute(() -> callFirst(loop, plan, route, call));
        return call;
    }

    private void callFirst(EventLoop loop, Plan plan, String route, CompletableFuture<Call> call) {
        Try first = new Try();
        first.start(loop, request(plan.firstAddress(), route, plan.deadlineMs()), plan.deadlineMs());
        first.ended.thenAccept(outcome -> {
            long tookMs = nowMs() - first.beganMs;
            long leftMs = plan.deadlineMs() - tookMs;
            if (outcome == Outcome.SERVED || leftMs <= 0) {
                call.complete(new Call(first.beganMs, outcome, tookMs, outcome));
            } else {
                callAgain(loop, plan, route, leftMs)
                        .thenAccept(second -> call.complete(new Call(first.beganMs, outcome, tookMs, second)));
            }
        });
    }

    private CompletableFuture<Outcome> callAgain(EventLoop loop, Plan plan, String route, long leftMs) {
        Try second = new Try();
        second.start(loop, request(plan.secondAddress(), route, leftMs), leftMs);
        return second.ended;
    }

    private OutgoingRequest request(String address, String route, long deadlineMs) {
        String id = name + "-" + ids.incrementAndGet();
        byte[] body = ("body of " + id).getBytes(StandardCharsets.US_ASCII);
        OutgoingRequest request = OutgoingRequest.post(Addresses.parse(address), "/" + route + "/x?y=1", body)
                .fresh();
        for (Map.Entry<String, String> header :
                CallerRequests.headers(id, deadlineMs).entrySet()) {
            request = request.with(header.getKey(), header.getValue());
        }
        return request;
    }

    @Override
    public void close() {
        group.shutdownGracefully();
    }
}
