package org.wingstall.relay.control;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The first read of a box that starts. The load that it answers is the start of all boxes at once: each is slower than the
 * source that it asks, so a call that is given up and made again is made in vain.
 *
 * <p>The call is left its time; when its answer is late another one goes out beside it, since an answer may also be lost. The
 * first answer counts. Confined to one loop.
 *
 * <p>{@code HedgedRead.of(loop, source::read).whenComplete(...)}
 */
final class HedgedRead<T> {
    /** Time after which the source is asked once more, in ms; a box that runs has its answer after some 10. */
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
     * Asks a source, and once more when its answer is late.
     *
     * @param loop the loop of the caller
     * @param ask makes the call
     * @return the first answer, or the failure when no call is left
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
