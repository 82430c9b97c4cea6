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
 * <p>{@code FirstAnswer.of(loop, source::read).whenComplete(...)}
 */
final class FirstAnswer<T> {
    /** Time after which the source is asked once more, in ms; a box that runs has its answer after some 10. */
    static final long AGAIN_AFTER_MS = 700;

    private final EventExecutor loop;
    private final Supplier<CompletableFuture<T>> ask;
    private final CompletableFuture<T> first = new CompletableFuture<>();
    private ScheduledFuture<?> again;
    private int open;

    private FirstAnswer(EventExecutor loop, Supplier<CompletableFuture<T>> ask) {
        this.loop = loop;
        this.ask = ask;
    }

    /**
     * Asks a source, and once more when its answer is late.
     *
     * @param loop the loop of the caller
     * @param ask makes the call
     * @return the first answer, or the failure when no call is left
     */
    static <T> CompletableFuture<T> of(EventExecutor loop, Supplier<CompletableFuture<T>> ask) {
        FirstAnswer<T> answer = new FirstAnswer<>(loop, ask);
        answer.again = loop.schedule(answer::ask, AGAIN_AFTER_MS, TimeUnit.MILLISECONDS);
        answer.ask();
        return answer.first;
    }

    private void ask() {
        open++;
        ask.get().whenCompleteAsync(this::ended, loop);
    }

    private void ended(T answer, Throwable failure) {
        open--;
        if (failure == null) {
            again.cancel(false);
            first.complete(answer);
        } else if (open == 0) {
            again.cancel(false);
            first.completeExceptionally(failure);
        }
    }
}
