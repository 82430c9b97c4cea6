package org.wingstall.peer;

import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.peer.ConfigReply;
import org.wingstall.schema.peer.ConfigRequest;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.StageFreed;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/**
 * Wraps messages between gateways into frames.
 *
 * <p>{@code link.send(Frames.heartbeat(heartbeat));}
 *
 * @since 0.1
 */
public final class Frames {
    private Frames() {}

    static PeerFrame hello(Hello hello) {
        return new PeerFrame(0, hello, null, null, null, null, null, null, null, null, false, null);
    }

    /** Returns the frame of a heartbeat. */
    public static PeerFrame heartbeat(Heartbeat heartbeat) {
        return new PeerFrame(0, null, heartbeat, null, null, null, null, null, null, null, false, null);
    }

    static PeerFrame configRequest(long afterRevision) {
        return new PeerFrame(
                afterRevision,
                null,
                null,
                new ConfigRequest(afterRevision),
                null,
                null,
                null,
                null,
                null,
                null,
                false,
                null);
    }

    static PeerFrame configReply(long correlation, ConfigReply reply) {
        return new PeerFrame(correlation, null, null, null, reply, null, null, null, null, null, false, null);
    }

    static PeerFrame claimRequest(long correlation, ClaimRequest request) {
        return new PeerFrame(correlation, null, null, null, null, request, null, null, null, null, false, null);
    }

    static PeerFrame claimReply(long correlation, ClaimReply reply) {
        return new PeerFrame(correlation, null, null, null, null, null, reply, null, null, null, false, null);
    }

    static PeerFrame memberNews(MemberNews news) {
        return new PeerFrame(0, null, null, null, null, null, null, news, null, null, false, null);
    }

    static PeerFrame stageWork(long correlation, StageWork work) {
        return new PeerFrame(correlation, null, null, null, null, null, null, null, work, null, false, null);
    }

    static PeerFrame stageResult(long correlation, StageResult result) {
        return new PeerFrame(correlation, null, null, null, null, null, null, null, null, result, false, null);
    }

    static PeerFrame stageWithdrawn(long correlation) {
        return new PeerFrame(correlation, null, null, null, null, null, null, null, null, null, true, null);
    }

    static PeerFrame stageFreed(StageFreed freed) {
        return new PeerFrame(0, null, null, null, null, null, null, null, null, null, false, freed);
    }
}
