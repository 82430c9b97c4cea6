package org.wingstall.peer;

import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.MemberNews;

/**
 * What every gateway lends to its links with other gateways; called on the mesh's event loop.
 *
 * <p>{@code PeerMesh mesh = new PeerMesh(options, host, loop, clock);}
 *
 * @since 0.1
 */
public interface PeerHost {
    /** Returns the configuration revision in force. */
    long revision();

    /** Returns what the next heartbeat says, but for the summaries of failure domains, which the mesh adds. */
    Heartbeat heartbeat();

    /**
     * Records a peer's heartbeat.
     *
     * @param heartbeat the heartbeat
     * @return whether it told of a leaving endpoint that was not known to be leaving
     */
    boolean heard(Heartbeat heartbeat);

    /** Takes in a change of the membership list that a peer read. */
    void membersChanged(MemberNews news);
}
