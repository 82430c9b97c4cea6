package org.wingstall.net.http;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Calls one address whose open connections may have fallen silent. Reads with a late answer are repeated over a new
 * connection. When that shows that connections are lost, the idle ones are closed, and calls that the other side holds are
 * repeated as well. Used on the event loop of its calls.
 *
 * <p>{@code client.read(request).thenApply(reply -> ...); ... client.doubtConnections();}
 *
 * @since 0.20
 */
public final class RepeatingClient implements RepeatableRead.Listener {
    private final HttpClient client;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final LongSupplier answerMs;
    private final BooleanSupplier repeatsLate;
    private final Set<RepeatableRead> held = new HashSet<>();
    private final AtomicLong repeatedCalls = new AtomicLong();

    /**
     * Creates a client.
     *
     * @param client HTTP client
     * @param loop event loop that its calls run on
     * @param address the address
     * @param answerMs time for an answer beyond the time that the other side may hold a call, in ms
     * @param repeatsLate whether a read whose answer is late is repeated
     */
    public RepeatingClient(
            HttpClient client,
            EventLoop loop,
            InetSocketAddress address,
            LongSupplier answerMs,
            BooleanSupplier repeatsLate) {
        this.client = client;
        this.loop = loop;
        this.address = address;
        this.answerMs = answerMs;
        this.repeatsLate = repeatsLate;
    }

    /** Returns how many calls were sent once more; on any thread. */
    public long repeatedCalls() {
        return repeatedCalls.get();
    }

    /** Closes the idle connections, and repeats the calls that are held over new ones. */
    public void doubtConnections() {
        client.closeIdle(loop, channel -> address.equals(channel.remoteAddress()));
        List.copyOf(held).forEach(read -> read.repeat("doubtful"));
    }

    /** Makes a call that is repeated if its answer is late. */
    public CompletableFuture<HttpReply> read(OutgoingRequest request) {
        return new RepeatableRead(client, loop, times(0), this).start(request, request);
    }

    /**
     * Makes a call that the other side may hold.
     *
     * @param request the call
     * @param again the call by which it is repeated, which is not held
     * @param waitMs longest time for which it is held, in ms
     */
    public CompletableFuture<HttpReply> hold(OutgoingRequest request, OutgoingRequest again, long waitMs) {
        RepeatableRead read = new RepeatableRead(client, loop, times(waitMs), this);
        held.add(read);
        return read.start(request, again).whenComplete((reply, failure) -> held.remove(read));
    }

    /** Makes a call that is not repeated: a silent connection may still deliver an earlier one. */
    public CompletableFuture<HttpReply> once(OutgoingRequest request) {
        return client.call(loop, request, answerMs.getAsLong()).whenComplete((reply, failure) -> {
            if (failure != null) {
                doubtConnections();
            }
        });
    }

    private RepeatableRead.Times times(long waitMs) {
        return new RepeatableRead.Times(waitMs, answerMs.getAsLong(), repeatsLate.getAsBoolean());
    }

    @Override
    public void repeated() {
        repeatedCalls.incrementAndGet();
    }

    @Override
    public void connectionLost() {
        doubtConnections();
    }
}
