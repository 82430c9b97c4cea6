package org.wingstall.core.lease;

import org.wingstall.schema.table.LeaseRow;

/**
 * The next step of a box that wants to acquire or renew a lease.
 *
 * <p>{@code if (step instanceof LeaseStep.Write write) { put(write.expectedVersion(), write.row()); }}
 *
 * @since 0.1
 */
public sealed interface LeaseStep {
    /**
     * Write the row if its version is unchanged; the box holds the lease only once this write has taken effect.
     *
     * @param expectedVersion required current version of the row; 0 if the row must be absent
     * @param row the new row
     */
    record Write(long expectedVersion, LeaseRow row) implements LeaseStep {}

    /**
     * Wait, since another box may still hold the lease.
     *
     * @param waitMs time until the lease can be acquired if it is not renewed, in ms
     */
    record Wait(long waitMs) implements LeaseStep {}
}
