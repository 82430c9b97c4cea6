package org.wingstall.gateway.limit;

import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.peer.NewsHost;
import org.wingstall.peer.NewsLinks;
import org.wingstall.schema.peer.LimitNews;

/**
 * Exchanges with other boxes how many requests endpoints take, and logs what changes. Confined to the mesh's event loop.
 *
 * <p>{@code AdvertisedLimits limits = LimitExchange.over("kgn-a-1", mesh.limits(), clock);}
 *
 * @since 0.9
 */
public final class LimitExchange implements AdvertisedLimits.Listener, NewsHost<LimitNews> {
    private static final Logger LOG = LogManager.getLogger(LimitExchange.class);

    private final NewsLinks<LimitNews> links;
    private final AdvertisedLimits limits;

    private LimitExchange(String boxId, NewsLinks<LimitNews> links, MonotonicClock clock) {
        this.links = links;
        this.limits = new AdvertisedLimits(boxId, clock, this);
    }

    /**
     * Creates limits and connects them.
     *
     * @param boxId name of this box
     * @param links links to other boxes
     * @param clock monotonic clock
     */
    public static AdvertisedLimits over(String boxId, NewsLinks<LimitNews> links, MonotonicClock clock) {
        LimitExchange exchange = new LimitExchange(boxId, links, clock);
        links.attach(exchange);
        return exchange.limits;
    }

    @Override
    public void broadcast(LimitNews news, String exceptBox) {
        links.tell(news, exceptBox);
    }

    @Override
    public void changed(AdvertisedLimits.Limit limit) {
        boolean cleared = Double.isInfinite(limit.requestsPerSecond());
        LogEvent.info(cleared ? "endpoint-limit-cleared" : "endpoint-limit")
                .with("endpoint", limit.endpoint())
                .with("requestsPerSecond", limit.requestsPerSecond())
                .with("box", limit.box())
                .to(LOG);
    }

    @Override
    public void heard(String boxId, LimitNews news) {
        limits.receive(boxId, news);
    }

    @Override
    public List<LimitNews> known() {
        return limits.snapshot();
    }
}
