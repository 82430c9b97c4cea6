package org.wingstall.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Decides to which endpoints a box connects other boxes; called on the mesh's event loop.
 *
 * <p>{@code mesh.tunnels().attach((endpoint, incarnation) -> addressIfReached(endpoint, incarnation));}
 *
 * @since 0.15
 */
@FunctionalInterface
public interface TunnelHost {
    /**
     * Returns the address of an endpoint that this box may connect another box with.
     *
     * @param endpointId identifier of the endpoint
     * @param incarnation its incarnation
     * @return the address; empty if this box does not know or does not reach the endpoint
     */
    Optional<InetSocketAddress> target(String endpointId, long incarnation);
}
