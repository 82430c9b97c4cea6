package org.wingstall.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.peer.HeartbeatThrottle;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;

/**
 * Finds links on which nothing has come for longer than the heartbeats of the peer allow. Keep-alive of the system does
 * not show them while something on the way acknowledges. Runs on the mesh's event loop.
 *
 * <p>Time during which the event loop stood still does not count, since what came meanwhile has not been read.
 *
 * <p>{@code silence.check(400).forEach(PeerLink::close);}
 */
final class SilentLinks {
    private static final Logger LOG = LogManager.getLogger(SilentLinks.class);

    /** Heartbeats that may be missed; their intervals vary by a tenth, and a packet may have to be sent again twice. */
    private static final int MISSED_HEARTBEATS = 4;

    /** Heartbeats in a row after which a peer counts as one that sends them at every tick. */
    private static final int STEADY_HEARTBEATS = 3;

    private final long silentAfterMs;
    private final Predicate<String> beatsSeldom;
    private final LongSupplier longestIntervalMs;
    private final MonotonicClock clock;
    private final Map<PeerLink, Activity> activities = new IdentityHashMap<>();
    private long checkedAtMs;
    private long stoodStillMs;
    private volatile long closed;

    /**
     * Creates a watch.
     *
     * @param silentAfterMs silence after which a peer that works for others counts as gone, in ms
     * @param beatsSeldom whether a box sends heartbeats at few ticks only
     * @param longestIntervalMs returns the longest time from one tick to the next at any peer, in ms
     * @param clock monotonic clock
     */
    SilentLinks(
            long silentAfterMs, Predicate<String> beatsSeldom, LongSupplier longestIntervalMs, MonotonicClock clock) {
        this.silentAfterMs = silentAfterMs;
        this.beatsSeldom = beatsSeldom;
        this.longestIntervalMs = longestIntervalMs;
        this.clock = clock;
        this.checkedAtMs = clock.nowMs();
    }

    /** What came on a link. */
    private final class Activity extends ChannelInboundHandlerAdapter {
        private final PeerLink link;
        private final long sinceMs = attendedMs();
        private long heardAtMs = sinceMs;
        private long heartbeatAtMs = sinceMs;
        private int steadyHeartbeats;

        private Activity(PeerLink link) {
            this.link = link;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            activities.put(link, this);
            ctx.fireChannelActive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            heardAtMs = attendedMs();
            ctx.fireChannelRead(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            activities.remove(link);
            ctx.fireChannelInactive();
        }

        private void heartbeat() {
            long nowMs = attendedMs();
            steadyHeartbeats = nowMs - heartbeatAtMs > silentAfterMs ? 1 : steadyHeartbeats + 1;
            heartbeatAtMs = nowMs;
        }

        private long silentMs(long nowMs) {
            heardAtMs = Math.min(heardAtMs, nowMs);
            return nowMs - heardAtMs;
        }
    }

    /** Returns a handler that records what comes on a link. */
    ChannelHandler watch(PeerLink link) {
        return new Activity(link);
    }

    /** Ends the watch of a connection that has become a tunnel, which may be idle for long. */
    void unwatch(PeerLink link) {
        activities.remove(link);
    }

    /** Records a heartbeat. */
    void heartbeat(PeerLink link) {
        Activity activity = activities.get(link);
        if (activity != null) {
            activity.heartbeat();
        }
    }

    /** Returns the silent links that were found; can be read on any thread. */
    long closed() {
        return closed;
    }

    private long attendedMs() {
        return clock.nowMs() - stoodStillMs;
    }

    /**
     * Returns the links to be closed, at a tick of the heartbeat.
     *
     * @param intervalMs time from one tick to the next, in ms
     */
    List<PeerLink> check(long intervalMs) {
        long lateMs = clock.nowMs() - checkedAtMs - intervalMs;
        checkedAtMs = clock.nowMs();
        stoodStillMs += Math.max(0, lateMs);
        if (lateMs > intervalMs) {
            return Collections.emptyList();
        }
        long nowMs = attendedMs();
        List<PeerLink> silent = new ArrayList<>();
        for (Activity activity : activities.values()) {
            if (activity.silentMs(nowMs) > allowedMs(activity)) {
                silent.add(activity.link);
                record(activity, nowMs);
            }
        }
        return silent;
    }

    /** Boxes may not agree yet which of them beat seldom, so what a peer has shown counts as well. */
    private long allowedMs(Activity activity) {
        long steadyMs = Math.max(silentAfterMs, MISSED_HEARTBEATS * longestIntervalMs.getAsLong());
        boolean steady = activity.link.peer() != null
                && activity.steadyHeartbeats >= STEADY_HEARTBEATS
                && !beatsSeldom.test(activity.link.peer().getBoxId());
        return steady ? steadyMs : HeartbeatThrottle.NON_HUB_INTERVAL_TICKS * steadyMs;
    }

    private void record(Activity activity, long nowMs) {
        closed++;
        PeerLink link = activity.link;
        LogEvent.warn("peer-link-silent")
                .with("peer", link.peer() == null ? null : link.peer().getBoxId())
                .with("dialled", link.dialled())
                .with("silentMs", activity.silentMs(nowMs))
                .with("ageMs", nowMs - activity.sinceMs)
                .to(LOG);
    }
}
