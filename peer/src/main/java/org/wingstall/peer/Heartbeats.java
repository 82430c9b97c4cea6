package org.wingstall.peer;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Map;
import org.wingstall.core.peer.HeartbeatPacer;
import org.wingstall.core.peer.HeartbeatThrottle;
import org.wingstall.net.frame.FrameCodec;
import org.wingstall.schema.peer.DomainSummary;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.WorkspaceDemand;

/**
 * Sends the heartbeats of a box on its links, and says how long it is from one to the next. Runs on the mesh's event loop.
 *
 * <p>{@code heartbeats.turn(true); ... heartbeats.send(false);}
 */
final class Heartbeats {
    private final String failureDomain;
    private final PeerHost host;
    private final Map<String, PeerLink> links;
    private final DomainTable domains;
    private final PeerTable peers;
    private final HeartbeatPacer pacer;
    private final HeartbeatThrottle turns = new HeartbeatThrottle();
    private volatile HeartbeatPacer.Plan plan;
    private int plainBytes;
    private int sinceFull;

    Heartbeats(PeerOptions options, PeerHost host, Map<String, PeerLink> links, DomainTable domains, PeerTable peers) {
        this.failureDomain = options.hello().getFailureDomain();
        this.host = host;
        this.links = links;
        this.domains = domains;
        this.peers = peers;
        this.pacer = new HeartbeatPacer(options.heartbeatMs(), options.budgetBytesPerSecond());
        this.plan = new HeartbeatPacer.Plan(options.heartbeatMs(), 1);
    }

    /** Returns the time between two turns, in ms; on any thread. */
    long intervalMs() {
        return plan.intervalMs();
    }

    /** Returns the time between two turns of a box that is linked to all of so many boxes, in ms. */
    long longestIntervalMs(int boxes) {
        return pacer.plan(boxes, plainBytes, plainBytes).intervalMs();
    }

    /** Returns the time between two heartbeats that tell demand, in ms; on any thread. */
    long fullIntervalMs() {
        return plan.fullIntervalMs();
    }

    /** Sends the heartbeats of a turn, if any are due. */
    void turn(boolean worksForOthers) {
        if (!turns.isDue(worksForOthers)) {
            return;
        }
        sinceFull++;
        boolean full = sinceFull >= plan.fullEvery();
        send(full);
        if (full) {
            sinceFull = 0;
        }
    }

    /**
     * Sends a heartbeat on every link; what only efficiency needs goes along with full ones. Each variant is encoded once,
     * since a hub has a link to every box.
     */
    void send(boolean full) {
        Heartbeat own = host.heartbeat();
        ByteBuf plain = encode(with(own, null, null));
        ByteBuf inside = encode(inside(own));
        ByteBuf across = encode(across(own));
        int fullBytes = Math.max(inside.readableBytes(), across.readableBytes());
        plainBytes = plain.readableBytes() + FrameCodec.LENGTH_BYTES;
        plan = pacer.plan(links.size(), plainBytes, fullBytes + FrameCodec.LENGTH_BYTES);
        for (PeerLink link : List.copyOf(links.values())) {
            ByteBuf whole = isLocal(link) ? inside : across;
            link.send(full ? whole : plain);
        }
        plain.release();
        inside.release();
        across.release();
    }

    private static ByteBuf encode(Heartbeat heartbeat) {
        return PeerLink.encode(Frames.heartbeat(heartbeat));
    }

    private boolean isLocal(PeerLink link) {
        return link.peer().getFailureDomain().equals(failureDomain);
    }

    private static Heartbeat with(Heartbeat own, List<WorkspaceDemand> demand, List<DomainSummary> summaries) {
        return new Heartbeat(
                own.getRevision(),
                own.isStopping(),
                own.getLeaving(),
                demand,
                summaries,
                own.isTableUnheard(),
                own.getListTag(),
                own.getListVersion(),
                own.getEvacuatedAsOf(),
                own.getEvacuated(),
                own.getListEra(),
                own.getEvacuatedEra(),
                own.getPoorlyReached(),
                own.getConfigAgeMs());
    }

    /**
     * Only the new peer is told at once; the others hear with the next heartbeats. When all were told of each link, boxes that
     * started together sent each other as many frames as the square of their number, at the busiest moment that they have.
     */
    void sendFirst(PeerLink link) {
        Heartbeat own = host.heartbeat();
        link.send(Frames.heartbeat(isLocal(link) ? inside(own) : across(own)));
    }

    private Heartbeat inside(Heartbeat own) {
        return with(own, own.getDemand(), domains.direct());
    }

    private Heartbeat across(Heartbeat own) {
        return with(own, own.getDemand(), List.of(domains.summarize(own, peers.inDomain(), peers::heard)));
    }
}
