package org.wingstall.relay.pool;

/**
 * Says which box does a service's joint work: gathers pieces, so that calls carry those of many boxes' requests, or chooses
 * engines for all.
 *
 * <p>{@code String gatherer = gathering.gathererOf("pay-ledger");}
 *
 * @since 0.2
 */
public interface CoordinatorSelector {
    /** Every box makes its own calls; the baseline. */
    CoordinatorSelector NONE = service -> null;

    /**
     * Returns the box that does the joint work of a service.
     *
     * @param service the service
     * @return name of another box, or null when it is this one
     */
    String coordinatorOf(String service);
}
