package org.wingstall.table;

import java.util.concurrent.CompletableFuture;
import org.wingstall.core.member.MemberSnapshot;

/**
 * The platform's list of live and leaving boxes, which lags behind reality.
 *
 * <p>{@code list.read(MemberSnapshot.NONE).thenAccept(now -> registry.applyList(now.members()));}
 *
 * @since 0.1
 */
public interface MembershipList {
    /**
     * Reads the list.
     *
     * @param known the list last read
     * @return the list now; {@code known} itself when the platform says that it has not changed
     */
    CompletableFuture<MemberSnapshot> read(MemberSnapshot known);
}
