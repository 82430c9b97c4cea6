package org.wingstall.peer;

import java.util.concurrent.CompletableFuture;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.peer.ConfigReply;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.MemberNews;

/**
 * What a gateway lends to its links with other gateways; called on the control loop.
 *
 * <p>{@code PeerMesh mesh = new PeerMesh(options, host, clock);}
 *
 * @since 0.1
 */
public interface PeerHost {
    /** Returns the configuration revision in force. */
    long revision();

    /** Returns whether configuration or membership list are still unknown, so that both are asked for whole. */
    boolean starting();

    /** Returns whether the platform's table gives this gateway no answers; read on any thread. */
    boolean tableUnheard();

    /** Returns what the next heartbeat says, but for the summaries of failure domains, which the mesh adds. */
    Heartbeat heartbeat();

    /**
     * Takes note of a peer's heartbeat.
     *
     * @param heartbeat the heartbeat
     * @return whether it told of a leaving endpoint that was not known to be leaving
     */
    boolean heard(Heartbeat heartbeat);

    /** Returns the configuration after a revision, or the whole of it. */
    ConfigReply configAfter(long revision);

    /** Takes in a peer's configuration, given in answer to a request after a revision. */
    void configReceived(long afterRevision, ConfigReply reply);

    /** Takes in a change of the membership list that a box of this failure domain read. */
    void membersChanged(MemberNews news);

    /** Commits a change of a claim for a peer. */
    CompletableFuture<ClaimReply> commit(ClaimRequest request);
}
