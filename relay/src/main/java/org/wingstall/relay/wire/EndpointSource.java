package org.wingstall.relay.wire;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wingstall.core.member.StoreVersion;
import org.wingstall.schema.platform.Member;

/**
 * Source of the list of endpoints.
 *
 * <p>{@code source.read().thenAccept(listing -> endpoints.applyList(listing.entries()));}
 *
 * @since 0.2
 */
public interface EndpointSource {
    /**
     * The complete list.
     *
     * @param members the endpoints
     * @param version version of the source at the time of the read; rises with every change in the source
     */
    record Listing(List<Member> members, StoreVersion version) {}

    /** Reads the complete list; fails with a {@link SourceException}. */
    CompletableFuture<Listing> read();
}
