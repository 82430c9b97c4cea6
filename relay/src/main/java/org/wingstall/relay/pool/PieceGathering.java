package org.wingstall.relay.pool;

/**
 * Says which box gathers the pieces of a service, so that calls carry pieces of many boxes' requests.
 *
 * <p>{@code String gatherer = gathering.gathererOf("pay-ledger");}
 *
 * @since 0.2
 */
public interface PieceGathering {
    /** Every box makes its own calls; the baseline. */
    PieceGathering NONE = service -> null;

    /**
     * Returns the box that gathers the pieces of a service.
     *
     * @param service the service
     * @return name of another box, or null when this box makes the calls itself
     */
    String gathererOf(String service);
}
