package org.wingstall.peer;

import java.util.concurrent.CompletableFuture;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.peer.ConfigReply;

/**
 * What a gateway lends to its links when its configuration and claims are rows of the platform's table; called on the
 * control loop.
 *
 * <p>{@code mesh.rows().attach(host);}
 *
 * @since 0.4
 */
public interface RowHost {
    /** Returns the configuration revision in force. */
    long revision();

    /** Returns whether configuration or membership list are still unknown, so that both are asked for whole. */
    boolean starting();

    /** Returns whether the platform's table gives this gateway no answers; read on any thread. */
    boolean tableUnheard();

    /** Returns the configuration after a revision, or the whole of it. */
    ConfigReply configAfter(long revision);

    /** Takes in a peer's configuration, given in answer to a request after a revision. */
    void configReceived(long afterRevision, ConfigReply reply);

    /** Commits a change of a claim for a peer. */
    CompletableFuture<ClaimReply> commit(ClaimRequest request);
}
