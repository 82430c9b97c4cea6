package org.wingstall.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.wingstall.net.NewConnectionQueue.Waiting;

/**
 * Lets one new connection in for each turn of the event loop, so that work under way goes first, and closes those that
 * would wait too long with their request unread: the caller has most of its time left for another box. A connection whose
 * request has not come yet costs a turn nothing, so only a few of these are let in at a time: else all of their requests
 * could come in one turn. For listeners whose connections all belong to one event loop.
 *
 * <p>{@code HttpServer server = new HttpServer(listener, limits, handler, rejections, new SheddingGate(loop, observer));}
 *
 * @since 0.18
 */
public final class SheddingGate implements ConnectionGate {
    /** Most connections that are let in and have sent nothing yet. */
    static final int MAX_SILENT = 16;

    /** Time after which a connection that has sent nothing is taken for an idle one, in ms. */
    static final long SILENT_MS = NewConnectionQueue.TARGET_MS;

    private final EventLoop loop;
    private final Observer observer;
    private final LongSupplier clock;
    private final NewConnectionQueue<Channel> queue = new NewConnectionQueue<>();
    private final ArrayDeque<FirstBytes> silent = new ArrayDeque<>();
    private boolean turnScheduled;
    private boolean silenceEndScheduled;
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
        this(loop, observer, System::nanoTime);
    }

    SheddingGate(EventLoop loop, Observer observer, LongSupplier clock) {
        this.loop = loop;
        this.observer = observer;
        this.clock = clock;
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
        if (!turnScheduled && queue.isEmpty() && mayLetIn(clock.getAsLong())) {
            scheduleTurn();
            letIn(connection, 0);
            return true;
        }
        boolean mayWait = queue.offer(connection, clock.getAsLong());
        if (mayWait) {
            connection.config().setAutoRead(false);
            scheduleEndOfSilence();
        } else {
            observer.closedUnread(Cause.QUEUE_FULL);
        }
        return mayWait;
    }

    private boolean mayLetIn(long nowNs) {
        while (!silent.isEmpty() && nowNs - silent.peekFirst().sinceNs >= TimeUnit.MILLISECONDS.toNanos(SILENT_MS)) {
            silent.removeFirst();
        }
        return silent.size() < MAX_SILENT;
    }

    private void letIn(Channel connection, long waitedMs) {
        FirstBytes firstBytes = new FirstBytes();
        silent.addLast(firstBytes);
        connection.pipeline().addFirst(firstBytes);
        observer.admitted(waitedMs);
    }

    private void scheduleTurn() {
        turnScheduled = true;
        // A task that is due now runs after the next look at all connections.
        loop.schedule(this::endTurn, 0, TimeUnit.NANOSECONDS);
    }

    private void endTurn() {
        turnScheduled = false;
        long nowNs = clock.getAsLong();
        if (mayLetIn(nowNs)) {
            Optional<Waiting<Channel>> next = nextOpen(nowNs);
            if (next.isPresent()) {
                scheduleTurn();
                Channel connection = next.get().connection();
                letIn(
                        connection,
                        TimeUnit.NANOSECONDS.toMillis(nowNs - next.get().sinceNs()));
                connection.config().setAutoRead(true);
            }
        } else {
            scheduleEndOfSilence();
        }
        reportOverloadChange();
    }

    /** Goes on when connections that were let in stay silent; their first bytes make it go on earlier. */
    private void scheduleEndOfSilence() {
        if (!turnScheduled && !silenceEndScheduled && !queue.isEmpty()) {
            silenceEndScheduled = true;
            loop.schedule(this::endSilence, SILENT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void endSilence() {
        silenceEndScheduled = false;
        goOn();
    }

    private void goOn() {
        if (!turnScheduled && !queue.isEmpty()) {
            scheduleTurn();
        }
    }

    /** Notes that a connection that was let in sends its first bytes, or ends. */
    private final class FirstBytes extends ChannelInboundHandlerAdapter {
        private final long sinceNs = clock.getAsLong();

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            ctx.pipeline().remove(this);
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ctx.pipeline().remove(this);
            ctx.fireChannelInactive();
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext ctx) {
            if (silent.remove(this)) {
                goOn();
            }
        }
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
        queue.endOverloadIfIdle(clock.getAsLong());
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
