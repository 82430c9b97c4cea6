package org.wingstall.gateway.limit;

import java.util.List;
import java.util.SplittableRandom;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.peer.NewsHost;
import org.wingstall.peer.NewsLinks;
import org.wingstall.relay.endpoint.RejectionGuard;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.schema.peer.RejectionNews;

/**
 * Exchanges rejections by brittle endpoints with other boxes. Confined to the mesh's event loop.
 *
 * <p>{@code RejectionGuard guard = RejectionExchange.over("kgn-a-1", mesh.rejections(), endpoints, clock);}
 *
 * @since 0.15
 */
public final class RejectionExchange implements NewsHost<RejectionNews> {
    private final RejectionGuard guard;

    private RejectionExchange(
            String boxId, NewsLinks<RejectionNews> links, RelayEndpoints endpoints, MonotonicClock clock) {
        this.guard = new RejectionGuard(boxId, endpoints, clock, new SplittableRandom(), links::tell);
    }

    /**
     * Creates a guard and connects it.
     *
     * @param boxId this box
     * @param links links to other boxes
     * @param endpoints endpoints of all services
     * @param clock monotonic clock
     */
    public static RejectionGuard over(
            String boxId, NewsLinks<RejectionNews> links, RelayEndpoints endpoints, MonotonicClock clock) {
        RejectionExchange exchange = new RejectionExchange(boxId, links, endpoints, clock);
        links.attach(exchange);
        return exchange.guard;
    }

    @Override
    public void heard(String boxId, RejectionNews news) {
        guard.receive(boxId, news);
    }

    /** A pause is over before a new link could tell of it. */
    @Override
    public List<RejectionNews> known() {
        return List.of();
    }
}
