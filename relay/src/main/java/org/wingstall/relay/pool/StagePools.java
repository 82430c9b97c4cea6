package org.wingstall.relay.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.wire.RelayRequest;

/**
 * The pools of all services whose endpoints do the work of stages. Confined to the request loop.
 *
 * <p>{@code StageGraph graph = pools.graph(request, route, rank, dueAtMs, listener); graph.begin();}
 *
 * @since 0.2
 */
public final class StagePools {
    private final PoolParts parts;
    private final RandomGenerator random;
    private final ResultFreer freer;
    private final Map<String, StagePool> pools = new HashMap<>();

    /**
     * Creates pools without pieces.
     *
     * @param parts what they share
     * @param random breaks ties between endpoints
     */
    public StagePools(PoolParts parts, RandomGenerator random) {
        this.parts = parts;
        this.random = random;
        this.freer = new ResultFreer(parts.loop(), parts.client(), parts.wire());
    }

    /**
     * Creates the stages of a request.
     *
     * @param request the request
     * @param route its route
     * @param rank order among requests; 0 goes first
     * @param dueAtMs when its time is over, in ms of the monotonic clock
     * @param listener told of the end
     */
    public StageGraph graph(
            RelayRequest request, Route route, int rank, long dueAtMs, StageGraph.StagesListener listener) {
        return new StageGraph(this, request, route, rank, dueAtMs, listener);
    }

    /** Returns the pieces that wait in all pools. */
    public int waiting() {
        return pools.values().stream().mapToInt(StagePool::waiting).sum();
    }

    /** Offers what waits again, after endpoints came or went. */
    public void offerAll() {
        List.copyOf(pools.values()).forEach(StagePool::offer);
    }

    StagePool of(String service) {
        return pools.computeIfAbsent(service, name -> new StagePool(name, parts, random));
    }

    ResultFreer freer() {
        return freer;
    }
}
