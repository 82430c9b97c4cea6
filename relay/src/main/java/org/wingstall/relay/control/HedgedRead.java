package org.wingstall.relay.control;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Hedges the first read of a box after its start. All boxes may start at once, and each is then slower than the source,
 * so that abandoning a slow call and repeating it would gain nothing.
 *
 * <p>The call has no timeout; if its response is late, a second call is sent as well, since a response may also be
 * lost. The first response wins. Confined to one event loop.
 *
 * <p>{@code HedgedRead.start(loop, source::read).whenComplete(...)}
 */
final class HedgedRead<T> {
    /** Delay before the second call, in ms; a box that is not starting has its response after some 10 ms. */
    static final long HEDGE_DELAY_MS = 700;

    private final EventExecutor loop;
    private final Supplier<CompletableFuture<T>> read;
    private final CompletableFuture<T> result = new CompletableFuture<>();
    private ScheduledFuture<?> hedgeTimer;
    private int outstandingCalls;

    private HedgedRead(EventExecutor loop, Supplier<CompletableFuture<T>> read) {
        this.loop = loop;
        this.read = read;
    }

    /**
     * Calls a source, and once more if its response is late.
     *
     * @param loop the event loop of the caller
     * @param read makes the call
     * @return the first response, or the failure once all calls have failed
     */
    static <T> CompletableFuture<T> start(EventExecutor loop, Supplier<CompletableFuture<T>> read) {
        HedgedRead<T> answer = new HedgedRead<>(loop, read);
        answer.hedgeTimer = loop.schedule(answer::sendCall, HEDGE_DELAY_MS, TimeUnit.MILLISECONDS);
        answer.sendCall();
        return answer.result;
    }

    private void sendCall() {
        outstandingCalls++;
        read.get().whenCompleteAsync(this::callEnded, loop);
    }

    private void callEnded(T answer, Throwable failure) {
        outstandingCalls--;
        if (failure == null) {
            hedgeTimer.cancel(false);
            result.complete(answer);
        } else if (outstandingCalls == 0) {
            hedgeTimer.cancel(false);
            result.completeExceptionally(failure);
        }
    }
}
