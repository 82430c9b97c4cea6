package org.wingstall.relay.wire;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A directory in which boxes announce themselves and find each other.
 *
 * <p>{@code directory.announce(self).thenCompose(done -> directory.read());}
 *
 * @since 0.2
 */
public interface BoxDirectory {
    /**
     * An announced box.
     *
     * @param boxId identifier of the box
     * @param failureDomain failure domain that it runs in
     * @param capacity processor time that it has, in hundredths of a core
     * @param peerAddress address at which it accepts links
     */
    record Box(String boxId, String failureDomain, int capacity, String peerAddress) {}

    /** Announces this box to the others; fails with a {@link SourceException}. */
    CompletableFuture<Void> announce(Box self);

    /** Reads all announced boxes, including ones that no longer run; fails with a {@link SourceException}. */
    CompletableFuture<List<Box>> read();
}
