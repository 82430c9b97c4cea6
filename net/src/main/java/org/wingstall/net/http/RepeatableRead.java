package org.wingstall.net.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;

/**
 * A call that may be made twice. It is sent once more over a new connection if its answer is late or its connection is in
 * doubt, as an open connection may deliver nothing any more; the first answer wins. Confined to one event loop.
 *
 * <p>{@code read.start(request, request).thenApply(reply -> ...); ... read.repeat("doubtful");}
 */
final class RepeatableRead {
    private static final Logger LOG = LogManager.getLogger(RepeatableRead.class);

    /** Lateness of a timer, in ms, from which this loop has stood still, so that an answer may wait unread. */
    private static final long STOOD_STILL_MS = 30;

    private static final int OK = 200;

    private final HttpClient client;
    private final EventLoop loop;
    private final Times times;
    private final Listener listener;
    private final CompletableFuture<HttpReply> result = new CompletableFuture<>();
    private final long beganNs = System.nanoTime();
    private OutgoingRequest request;
    private OutgoingRequest repetition;
    private CompletableFuture<HttpReply> call;
    private CompletableFuture<HttpReply> repeatedCall;
    private ScheduledFuture<?> lateTimer;
    private boolean late;

    /**
     * How long a read takes at most.
     *
     * @param waitMs time for which the other side may hold the call, in ms
     * @param answerMs time beyond the wait within which there has to be an answer, in ms
     * @param repeatsLate whether the call is repeated when its answer is late
     */
    record Times(long waitMs, long answerMs, boolean repeatsLate) {
        /** A late call is repeated after this part of the time for an answer, so that the repetition has the larger part. */
        private static final int LATE_PART = 3;

        long lateMs() {
            return answerMs / LATE_PART;
        }
    }

    /** Told of what a read shows about the connections. */
    interface Listener {
        /** The read was sent once more. */
        void repeated();

        /** A new connection had the answer, while the one that carried the call was silent, or none had it. */
        void connectionLost();
    }

    RepeatableRead(HttpClient client, EventLoop loop, Times times, Listener listener) {
        this.client = client;
        this.loop = loop;
        this.times = times;
        this.listener = listener;
    }

    /**
     * Sends the call; on the event loop.
     *
     * @param first the call
     * @param again the call that is sent if that one's answer is late
     * @return the answer, or the failure once no call can have one
     */
    CompletableFuture<HttpReply> start(OutgoingRequest first, OutgoingRequest again) {
        request = first;
        repetition = again;
        if (times.repeatsLate()) {
            awaitLate(times.waitMs() + times.lateMs(), true);
        }
        call = client.call(loop, request, times.waitMs() + times.answerMs());
        call.whenComplete(this::ended);
        return result;
    }

    private void awaitLate(long delayMs, boolean mayExtend) {
        long dueNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        lateTimer = loop.schedule(() -> onLate(dueNs, mayExtend), delayMs, TimeUnit.MILLISECONDS);
    }

    private void onLate(long dueNs, boolean mayExtend) {
        if (mayExtend && System.nanoTime() - dueNs > TimeUnit.MILLISECONDS.toNanos(STOOD_STILL_MS)) {
            awaitLate(times.lateMs(), false);
            return;
        }
        late = repeatedCall == null;
        repeat("late");
    }

    /** Sends the call once more over a new connection; on the event loop. */
    void repeat(String why) {
        if (repeatedCall != null || result.isDone()) {
            return;
        }
        LogEvent.info("call-repeated")
                .with("path", request.path())
                .with("heldMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs))
                .with("why", why)
                .to(LOG);
        listener.repeated();
        long leftMs = late ? times.answerMs() - times.lateMs() : times.answerMs();
        repeatedCall = client.call(loop, repetition.fresh(), leftMs);
        repeatedCall.whenComplete(this::repetitionEnded);
    }

    private void ended(HttpReply reply, Throwable failure) {
        if (failure == null) {
            finish(reply);
        } else if (repeatedCall == null || repeatedCall.isDone()) {
            fail(failure);
        }
    }

    /** A late call has little time left, and may be answered yet; one that is held would keep the failure hidden. */
    private void repetitionEnded(HttpReply reply, Throwable failure) {
        if (failure == null && refusedBeforeFirstCall(reply)) {
            return;
        }
        if (failure == null && !result.isDone()) {
            finish(reply);
            if (late) {
                listener.connectionLost();
            }
        } else if (failure != null && (!late || call.isDone())) {
            fail(failure);
        }
    }

    /** A server that limits calls refuses the repetition at once, and answers the first call late. */
    private boolean refusedBeforeFirstCall(HttpReply reply) {
        return late && times.waitMs() == 0 && reply.status() != OK && !call.isDone();
    }

    private void finish(HttpReply reply) {
        if (result.complete(reply)) {
            end();
        }
    }

    private void fail(Throwable failure) {
        if (result.completeExceptionally(failure)) {
            end();
            listener.connectionLost();
        }
    }

    private void end() {
        if (lateTimer != null) {
            lateTimer.cancel(false);
        }
        call.cancel(false);
        if (repeatedCall != null) {
            repeatedCall.cancel(false);
        }
    }
}
