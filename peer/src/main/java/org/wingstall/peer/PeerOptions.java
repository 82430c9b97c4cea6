package org.wingstall.peer;

import java.net.InetSocketAddress;
import java.util.List;
import org.wingstall.core.peer.LinkStrategy;
import org.wingstall.schema.peer.Hello;

/**
 * How a gateway takes part in the mesh.
 *
 * @param hello who it is
 * @param listenAddress where it takes links
 * @param seeds peers known from the settings
 * @param heartbeatMs shortest interval between heartbeats, in ms
 * @param silentAfterMs a peer not heard for this long counts as gone, in ms
 * @param budgetBytesPerSecond bytes a second that heartbeats may cost, both ways
 * @param links which links are opened
 * @since 0.1
 */
public record PeerOptions(
        Hello hello,
        InetSocketAddress listenAddress,
        List<InetSocketAddress> seeds,
        long heartbeatMs,
        long silentAfterMs,
        int budgetBytesPerSecond,
        LinkStrategy links) {}
