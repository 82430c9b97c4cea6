package org.wingstall.relay.wire;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wingstall.core.route.EndpointIdentity;

/**
 * Where the list of endpoints comes from.
 *
 * <p>{@code source.read().thenAccept(listing -> endpoints.applyList(listing.entries()));}
 *
 * @since 0.2
 */
public interface EndpointSource {
    /**
     * An endpoint as the list has it.
     *
     * @param identity who and where it is
     * @param slots requests that it runs at once
     * @param leaving whether it takes no new work
     * @param coldMs how much longer it is slow from its start, in ms
     */
    record Entry(EndpointIdentity identity, int slots, boolean leaving, long coldMs) {}

    /**
     * The whole list.
     *
     * @param entries the endpoints
     * @param version version of the source as of which it was read; rises with each change of anything there
     */
    record Listing(List<Entry> entries, long version) {}

    /** Reads the whole list; fails with a {@link SourceException}. */
    CompletableFuture<Listing> read();
}
