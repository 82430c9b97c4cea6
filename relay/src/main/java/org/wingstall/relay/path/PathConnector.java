package org.wingstall.relay.path;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.Connector;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;

/**
 * Opens connections to endpoints directly, and through another box when the direct path is lost or a direct connection
 * does not come up at once. Confined to the request loop.
 *
 * <p>{@code HttpClient client = new HttpClient(new PathConnector(clock, endpoints, paths, direct, detours), limits);}
 *
 * @since 0.15
 */
public final class PathConnector implements Connector {
    private final MonotonicClock clock;
    private final RelayEndpoints endpoints;
    private final EndpointPaths paths;
    private final Connector direct;
    private final Detours detours;

    /**
     * Creates a connector.
     *
     * @param clock monotonic clock
     * @param endpoints endpoints of all services
     * @param paths tells which direct paths are lost
     * @param direct opens direct connections
     * @param detours ways through other boxes
     */
    public PathConnector(
            MonotonicClock clock, RelayEndpoints endpoints, EndpointPaths paths, Connector direct, Detours detours) {
        this.clock = clock;
        this.endpoints = endpoints;
        this.paths = paths;
        this.direct = direct;
        this.detours = detours;
    }

    @Override
    public void connect(EventLoop loop, InetSocketAddress address, int timeoutMs, Listener listener) {
        Optional<RelayEndpoint> endpoint = endpoints.findByAddress(address);
        if (endpoint.isPresent()) {
            new ConnectionRace(loop, clock, paths, direct, detours, endpoint.get(), timeoutMs, listener).start();
        } else {
            direct.connect(loop, address, timeoutMs, listener);
        }
    }
}
