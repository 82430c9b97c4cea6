package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.wire.BoxDirectory;

/**
 * Registers this box in the directory and polls it for others: often after the start, seldom later, since peer links
 * carry more than the directory does. Runs on the control loop.
 *
 * <p>{@code new BoxFollower(loop, directory, self, mesh::applyList).start();}
 *
 * @since 0.2
 */
public final class BoxFollower {
    private static final Logger LOG = LogManager.getLogger(BoxFollower.class);

    /** Interval between the first reads, in ms: boxes of a fleet start within some hundred ms of each other. */
    private static final long INITIAL_INTERVAL_MS = 1000;

    private static final int INITIAL_READS = 3;

    /** Interval between later reads, in ms; a new box connects to the others itself. */
    private static final long INTERVAL_MS = 20_000;

    private final EventLoop loop;
    private final BoxDirectory directory;
    private final BoxDirectory.Box self;
    private final Consumer<List<BoxDirectory.Box>> listener;
    private boolean announced;
    private volatile int successfulReads;

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param directory the directory
     * @param self this box
     * @param listener receives each list
     */
    public BoxFollower(
            EventLoop loop, BoxDirectory directory, BoxDirectory.Box self, Consumer<List<BoxDirectory.Box>> listener) {
        this.loop = loop;
        this.directory = directory;
        this.self = self;
        this.listener = listener;
    }

    /** Starts polling. */
    public void start() {
        loop.execute(this::poll);
    }

    /**
     * Returns whether the reads after the start are done, which find boxes that started at the same time; on any
     * thread.
     */
    public boolean initialReadsDone() {
        return successfulReads >= INITIAL_READS;
    }

    /** Registers this box again, since a store that was restored may lack it. For use on any thread. */
    public void announceAgain() {
        loop.execute(() -> {
            announced = false;
            directory.announce(self).whenCompleteAsync((done, failure) -> announced = failure == null, loop);
        });
    }

    private void poll() {
        CompletableFuture<Void> done = announced ? CompletableFuture.completedFuture(null) : directory.announce(self);
        done.thenCompose(written -> {
                    announced = true;
                    return directory.read();
                })
                .whenCompleteAsync(this::onRead, loop);
    }

    private void onRead(List<BoxDirectory.Box> boxes, Throwable failure) {
        if (failure == null) {
            successfulReads++;
            listener.accept(boxes);
        } else {
            LogEvent.warn("box-directory-unread")
                    .with("announced", announced)
                    .cause(failure)
                    .to(LOG);
        }
        loop.schedule(
                this::poll, successfulReads < INITIAL_READS ? INITIAL_INTERVAL_MS : INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
}
