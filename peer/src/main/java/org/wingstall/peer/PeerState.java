package org.wingstall.peer;

import java.util.List;
import java.util.Set;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.WorkspaceDemand;

/**
 * What is known of a peer; an immutable picture for readers on any thread.
 *
 * @param hello who it is
 * @param heardAtMs when it was last heard, in ms of the monotonic clock
 * @param revision its configuration revision in force
 * @param stopping whether it is in a planned stop
 * @param tableUnheard whether the platform's table gives it no answers
 * @param listTag tag of the membership list that it read lately; 0 when it read none
 * @param demand requests a second by limited workspace there
 * @param poorlyReached services of which it reaches fewer than half of the endpoints
 * @since 0.1
 */
public record PeerState(
        Hello hello,
        long heardAtMs,
        long revision,
        boolean stopping,
        boolean tableUnheard,
        int listTag,
        List<WorkspaceDemand> demand,
        Set<String> poorlyReached) {
    /** Returns whether the peer was heard lately. */
    boolean heardSince(long sinceMs) {
        return heardAtMs >= sinceMs;
    }
}
