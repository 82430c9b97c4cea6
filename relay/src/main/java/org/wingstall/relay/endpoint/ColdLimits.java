package org.wingstall.relay.endpoint;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.wingstall.core.peer.Rendezvous;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.ColdSpec;
import org.wingstall.relay.endpoint.ColdShares.FleetView;
import org.wingstall.relay.endpoint.ColdShares.Standing;

/**
 * Keeps what this box sends, or has others send, to a cold endpoint within its share of what the endpoint bears. The load that
 * it answers is a failure domain whose endpoints come back cold together under a burst: they fall over at little more than
 * their rate. Confined to the request loop.
 *
 * <p>{@code List<RelayEndpoint> open = limits.open(candidates, standing); ... limits.sent(chosen, standing);}
 *
 * @since 0.8
 */
public final class ColdLimits {
    /** Endpoints whose sends are remembered until those that are warm by now are dropped. */
    private static final int MOST_REMEMBERED = 1000;

    private final MonotonicClock clock;
    private final Function<String, Optional<ColdSpec>> specs;
    private final Supplier<Bounds> bounds;
    private final Supplier<Fleet> fleet;
    private final ColdShares shares;
    private final Map<String, RecentSends> sends = new HashMap<>();

    /**
     * What an endpoint bears beyond its rate.
     *
     * @param overrun factor on its rate; 0 when cold endpoints are not bounded
     * @param tolerance requests in a second beyond that
     */
    public record Bounds(double overrun, double tolerance) {}

    /**
     * The fleet as this box knows it.
     *
     * @param self this box
     * @param boxes all boxes that are known, this one included
     * @param settled whether this box has had time to learn of all others
     * @param choosesForAll whether it hears most boxes of its failure domain, so that no other chooses there
     * @param failureDomains failure domains that have boxes
     */
    public record Fleet(String self, List<String> boxes, boolean settled, boolean choosesForAll, int failureDomains) {}

    /**
     * Creates limits.
     *
     * @param clock monotonic clock
     * @param specs what cold endpoints of a service bear, where that is less than usual
     * @param bounds what they bear beyond it
     * @param fleet the fleet as this box knows it
     * @param shares divides it among boxes
     */
    public ColdLimits(
            MonotonicClock clock,
            Function<String, Optional<ColdSpec>> specs,
            Supplier<Bounds> bounds,
            Supplier<Fleet> fleet,
            ColdShares shares) {
        this.clock = clock;
        this.specs = specs;
        this.bounds = bounds;
        this.fleet = fleet;
        this.shares = shares;
    }

    /**
     * Returns the endpoints that this box may send a request to now. A box that doesn't know the others yet leaves the cold
     * ones alone as long as there are warm ones.
     *
     * @param candidates endpoints of one service
     * @param forAll whether the box is asked to choose for all
     * @return those that are warm, and cold ones within this box's share
     */
    public List<RelayEndpoint> open(List<RelayEndpoint> candidates, boolean forAll) {
        Optional<ColdSpec> spec = candidates.isEmpty() ? Optional.empty() : specOf(candidates.get(0));
        return spec.isPresent() ? open(candidates, spec.get(), forAll) : candidates;
    }

    private List<RelayEndpoint> open(List<RelayEndpoint> candidates, ColdSpec spec, boolean forAll) {
        long nowMs = clock.nowMs();
        List<RelayEndpoint> warm = candidates.stream()
                .filter(endpoint -> !endpoint.cold(spec, nowMs))
                .toList();
        if (warm.size() == candidates.size()) {
            return candidates;
        }
        Fleet now = fleet.get();
        if (!now.settled() && !warm.isEmpty()) {
            return warm;
        }
        return candidates.stream()
                .filter(endpoint -> waitMs(endpoint, forAll, now) == 0)
                .toList();
    }

    /** Returns what cold endpoints of an endpoint's service bear; empty when that is not bounded. */
    private Optional<ColdSpec> specOf(RelayEndpoint endpoint) {
        return bounds.get().overrun() > 0 ? specs.apply(endpoint.identity().service()) : Optional.empty();
    }

    /** Returns the time after which one of these endpoints may be sent a request, in ms; 0 for now. */
    public long againMs(List<RelayEndpoint> candidates, boolean forAll) {
        Fleet now = fleet.get();
        return candidates.stream()
                .mapToLong(endpoint -> waitMs(endpoint, forAll, now))
                .min()
                .orElse(0);
    }

    private long waitMs(RelayEndpoint endpoint, boolean forAll, Fleet now) {
        if (!cold(endpoint)) {
            return 0;
        }
        RecentSends recent = sends.get(endpoint.key());
        int perSecond = perSecond(endpoint, forAll, now);
        return (recent == null ? new RecentSends() : recent).waitMs(perSecond, clock.nowMs());
    }

    private int perSecond(RelayEndpoint endpoint, boolean forAll, Fleet now) {
        ColdSpec spec = specOf(endpoint).orElseThrow();
        Bounds beyond = bounds.get();
        double bearable = spec.perSecond() * beyond.overrun() + beyond.tolerance();
        Standing standing = forAll && now.choosesForAll() ? Standing.FOR_ALL : Standing.ALONE;
        boolean amongFirst = standing == Standing.ALONE
                && Rendezvous.top("cold:" + endpoint.key(), now.boxes(), ColdShares.ALONE_BOXES)
                        .contains(now.self());
        return shares.perSecond(bearable, standing, new FleetView(now.failureDomains(), amongFirst));
    }

    /** Returns whether an endpoint is cold and bears less than usual for that. */
    public boolean cold(RelayEndpoint endpoint) {
        return specOf(endpoint).map(spec -> endpoint.cold(spec, clock.nowMs())).orElse(false);
    }

    /** Takes note that an endpoint is sent a request now, by this box or by one that asked it. */
    public void sent(RelayEndpoint endpoint) {
        if (cold(endpoint)) {
            long nowMs = clock.nowMs();
            sends.computeIfAbsent(endpoint.key(), key -> new RecentSends()).sent(nowMs);
            if (sends.size() > MOST_REMEMBERED) {
                sends.values().removeIf(recent -> recent.waitMs(1, nowMs) == 0);
            }
        }
    }
}
