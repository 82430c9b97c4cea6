package org.wingstall.peer;

import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.peer.ConfigReply;
import org.wingstall.schema.peer.ConfigRequest;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.peer.PeerFrame;

/** Wraps messages between gateways into frames. */
final class Frames {
    private Frames() {}

    static PeerFrame hello(Hello hello) {
        return new PeerFrame(0, hello, null, null, null, null, null, null);
    }

    static PeerFrame heartbeat(Heartbeat heartbeat) {
        return new PeerFrame(0, null, heartbeat, null, null, null, null, null);
    }

    static PeerFrame configRequest(long afterRevision) {
        return new PeerFrame(afterRevision, null, null, new ConfigRequest(afterRevision), null, null, null, null);
    }

    static PeerFrame configReply(long correlation, ConfigReply reply) {
        return new PeerFrame(correlation, null, null, null, reply, null, null, null);
    }

    static PeerFrame claimRequest(long correlation, ClaimRequest request) {
        return new PeerFrame(correlation, null, null, null, null, request, null, null);
    }

    static PeerFrame claimReply(long correlation, ClaimReply reply) {
        return new PeerFrame(correlation, null, null, null, null, null, reply, null);
    }

    static PeerFrame memberNews(MemberNews news) {
        return new PeerFrame(0, null, null, null, null, null, null, news);
    }
}
