package org.wingstall.relay.wire;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wingstall.schema.platform.Member;

/**
 * Where the list of endpoints comes from.
 *
 * <p>{@code source.read().thenAccept(listing -> endpoints.applyList(listing.entries()));}
 *
 * @since 0.2
 */
public interface EndpointSource {
    /**
     * The whole list.
     *
     * @param members the endpoints
     * @param version version of the source as of which it was read; rises with each change of anything there
     */
    record Listing(List<Member> members, long version) {}

    /** Reads the whole list; fails with a {@link SourceException}. */
    CompletableFuture<Listing> read();
}
