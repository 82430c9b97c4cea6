package org.wingstall.core.lease;

import org.wingstall.schema.table.LeaseRow;

/**
 * What a box does next about a lease.
 *
 * <p>{@code if (step instanceof LeaseStep.Write write) { put(write.expectedVersion(), write.row()); }}
 *
 * @since 0.1
 */
public sealed interface LeaseStep {
    /**
     * Write the row if it still has the version; the lease is held only when that took effect.
     *
     * @param expectedVersion version that the row must have; 0 for an absent row
     * @param row the new row
     */
    record Write(long expectedVersion, LeaseRow row) implements LeaseStep {}

    /**
     * Another box may still hold the lease.
     *
     * @param waitMs time until it can be taken if it is not renewed, in ms
     */
    record Wait(long waitMs) implements LeaseStep {}
}
