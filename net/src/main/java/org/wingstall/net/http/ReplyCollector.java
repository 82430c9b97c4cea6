package org.wingstall.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Collects an answer whole, within a time. */
final class ReplyCollector implements ResponseListener {
    /**
     * Lateness of its own timer, in ms, from which a loop has stood still rather than waited: the other side had no chance,
     * and is given its time once more. Else boxes that have just started take sound endpoints for silent, and requests have
     * nowhere to go meanwhile.
     */
    private static final long STOOD_STILL_MS = 30;

    private final EventLoop loop;
    private final long timeoutMs;
    private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpExchange exchange;
    private ScheduledFuture<?> timer;
    private long dueAtNs;
    private boolean extended;
    private int status;
    private HttpHeaders headers;

    ReplyCollector(EventLoop loop, long timeoutMs) {
        this.loop = loop;
        this.timeoutMs = timeoutMs;
    }

    CompletableFuture<HttpReply> reply() {
        return reply;
    }

    void begin(HttpClient client, OutgoingRequest request) {
        expect(timeoutMs);
        exchange = client.send(loop, request, (int) Math.min(Integer.MAX_VALUE, timeoutMs), this);
    }

    /** Ends a call whose answer nobody waits for any more. */
    void abandon() {
        timer.cancel(false);
        if (exchange != null) {
            exchange.cancel();
        }
    }

    private void expect(long ms) {
        dueAtNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        timer = loop.schedule(this::expire, ms, TimeUnit.MILLISECONDS);
    }

    private boolean stoodStill() {
        return System.nanoTime() - dueAtNs > TimeUnit.MILLISECONDS.toNanos(STOOD_STILL_MS);
    }

    private void expire() {
        if (stoodStill() && !extended) {
            extended = true;
            expect(timeoutMs);
            return;
        }
        boolean written = exchange != null && exchange.requestWritten();
        if (exchange != null) {
            exchange.cancel();
        }
        String detail = "no whole answer within " + timeoutMs + " ms";
        reply.completeExceptionally(new TransportException(TransportException.Kind.TIMEOUT, written, detail));
    }

    @Override
    public void head(int code, HttpHeaders answerHeaders) {
        status = code;
        headers = answerHeaders;
    }

    @Override
    public void content(ByteBuf part) {
        byte[] bytes = new byte[part.readableBytes()];
        part.getBytes(part.readerIndex(), bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void complete(BodyEnd end) {
        timer.cancel(false);
        reply.complete(new HttpReply(status, body.toByteArray(), headers));
    }

    @Override
    public void failed(TransportException failure) {
        timer.cancel(false);
        reply.completeExceptionally(failure);
    }
}
