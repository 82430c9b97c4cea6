package org.wingstall.relay.pool;

/**
 * Selects the coordinator of a service: the box that batches the pieces of all boxes, so that a call carries pieces of
 * many requests, or that selects engines for all boxes.
 *
 * <p>{@code String coordinator = selector.coordinatorOf("pay-ledger");}
 *
 * @since 0.2
 */
public interface CoordinatorSelector {
    /** Makes every box its own coordinator; the baseline. */
    CoordinatorSelector NONE = service -> null;

    /**
     * Returns the coordinator of a service.
     *
     * @param service the service
     * @return identifier of another box, or null when this box is the coordinator
     */
    String coordinatorOf(String service);

    /** Returns whether a box reaches the endpoints of a service well enough to act on them for other boxes. */
    default boolean reaches(String boxId, String service) {
        return true;
    }
}
