package org.wingstall.relay.stream;

import java.util.List;

/**
 * Chooses the boxes that keep the origins of streams for this one.
 *
 * <p>{@code holders.holdersOf("c287ed77").forEach(box -> links.tell(box, origin));}
 *
 * @since 0.16
 */
public interface OriginHolders {
    /** Returns the boxes that are told the origin of a stream, other than this one. */
    List<String> holdersOf(String streamId);

    /** Returns the boxes that may know the origin of a stream and can be asked, other than this one. */
    List<String> reachable();

    /** Returns whether all boxes that may know the origin of a stream can be asked. */
    boolean allReachable();
}
