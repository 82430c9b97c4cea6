package org.wingstall.relay.wire;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Where boxes find each other.
 *
 * <p>{@code directory.announce(self).thenCompose(done -> directory.read());}
 *
 * @since 0.2
 */
public interface BoxDirectory {
    /**
     * A box as it announced itself.
     *
     * @param boxId its name
     * @param failureDomain where it stands
     * @param capacity processor time it has, in hundredths of a core
     * @param peerAddress where it takes links
     */
    record Box(String boxId, String failureDomain, int capacity, String peerAddress) {}

    /** Writes this box down for the others; fails with a {@link SourceException}. */
    CompletableFuture<Void> announce(Box self);

    /** Reads all boxes that were written down, gone ones among them; fails with a {@link SourceException}. */
    CompletableFuture<List<Box>> read();
}
