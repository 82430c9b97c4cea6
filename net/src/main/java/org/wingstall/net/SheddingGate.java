package org.wingstall.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wingstall.net.NewConnectionQueue.Waiting;

/**
 * Lets one new connection in for each turn of the event loop, so that work under way goes first, and closes those that
 * would wait too long with their request unread: the caller has most of its time left for another box. For listeners
 * whose connections all belong to one event loop.
 *
 * <p>{@code HttpServer server = new HttpServer(listener, limits, handler, rejections, new SheddingGate(loop, observer));}
 *
 * @since 0.18
 */
public final class SheddingGate implements ConnectionGate {
    private final EventLoop loop;
    private final Observer observer;
    private final NewConnectionQueue<Channel> queue = new NewConnectionQueue<>();
    private boolean turnUsed;
    private boolean reportedOverload;

    /** Why a connection was closed unread. */
    public enum Cause {
        /** Others that wait would have made it late. */
        QUEUE_FULL("queue-full"),
        /** It had waited too long when its turn came. */
        WAITED_TOO_LONG("waited-too-long");

        private final String code;

        Cause(String code) {
            this.code = code;
        }

        /** Returns the code that counters show. */
        public String code() {
            return code;
        }
    }

    /** Told of each decision. */
    public interface Observer {
        /** A connection was let in after a wait in ms; 0 for one that did not wait. */
        void admitted(long waitedMs);

        /** A connection was closed with its request unread. */
        void closedUnread(Cause cause);

        /** From now on connections are closed unread, or are not any more. */
        void overloadChanged(boolean overloaded);
    }

    /**
     * Creates a gate.
     *
     * @param loop event loop of the listener and its connections
     * @param observer told of each decision
     */
    public SheddingGate(EventLoop loop, Observer observer) {
        this.loop = loop;
        this.observer = observer;
    }

    @Override
    public boolean overloaded() {
        return queue.overloaded();
    }

    /** Returns the number of connections that wait to be read. */
    public int waiting() {
        return queue.size();
    }

    @Override
    public boolean admit(Channel connection) {
        if (!turnUsed && queue.isEmpty()) {
            turnUsed = true;
            loop.execute(this::endTurn);
            observer.admitted(0);
            return true;
        }
        boolean mayWait = queue.offer(connection, System.nanoTime());
        if (mayWait) {
            connection.config().setAutoRead(false);
        } else {
            observer.closedUnread(Cause.QUEUE_FULL);
        }
        return mayWait;
    }

    private void endTurn() {
        turnUsed = false;
        long nowNs = System.nanoTime();
        Optional<Waiting<Channel>> next = nextOpen(nowNs);
        if (next.isPresent()) {
            turnUsed = true;
            next.get().connection().config().setAutoRead(true);
            observer.admitted(TimeUnit.NANOSECONDS.toMillis(nowNs - next.get().sinceNs()));
            // A task that is due now runs after the next look at all connections.
            loop.schedule(this::endTurn, 0, TimeUnit.NANOSECONDS);
        }
        reportOverloadChange();
    }

    private void reportOverloadChange() {
        if (queue.overloaded() != reportedOverload) {
            reportedOverload = queue.overloaded();
            observer.overloadChanged(reportedOverload);
            if (reportedOverload) {
                scheduleEndOfOverload();
            }
        }
    }

    /** Also ends an overload after which no connection comes. */
    private void scheduleEndOfOverload() {
        loop.schedule(this::endOverload, NewConnectionQueue.INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void endOverload() {
        queue.endOverloadIfIdle(System.nanoTime());
        if (queue.overloaded()) {
            scheduleEndOfOverload();
        }
        reportOverloadChange();
    }

    /** Callers that have left meanwhile need no turn. */
    private Optional<Waiting<Channel>> nextOpen(long nowNs) {
        Optional<Waiting<Channel>> next = queue.next(nowNs, this::closeLate);
        while (next.isPresent() && !next.get().connection().isActive()) {
            next = queue.next(nowNs, this::closeLate);
        }
        return next;
    }

    private void closeLate(Channel connection) {
        if (connection.isActive()) {
            observer.closedUnread(Cause.WAITED_TOO_LONG);
            Listener.resetOnClose(connection);
            connection.close();
        }
    }
}
