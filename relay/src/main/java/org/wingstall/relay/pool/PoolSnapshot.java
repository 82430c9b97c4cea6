package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * The endpoints that serve a pool at one moment, as the policies see them. Read once for a turn in which several calls may
 * be planned. Confined to the request loop.
 *
 * <p>{@code PoolSnapshot now = new PoolSnapshot(spec, serving, ledger, nowMs); planner.next(groups, now.makers(random), spec, nowMs)}
 *
 * @param spec what an endpoint can do
 * @param serving endpoints that may get work, at least one
 * @param ledger room for results
 * @param nowMs monotonic clock, in ms
 */
record PoolSnapshot(PoolSpec spec, List<RelayEndpoint> serving, ResultCapacityTracker capacity, long nowMs) {

    /** Returns endpoints with the slots and room that are left after the calls planned so far. */
    List<CallPlanner.EndpointCapacity> capacities(List<RelayEndpoint> open, RandomGenerator random) {
        return open.stream().map(endpoint -> capacityOf(endpoint, random)).toList();
    }

    private CallPlanner.EndpointCapacity capacityOf(RelayEndpoint endpoint, RandomGenerator random) {
        return new CallPlanner.EndpointCapacity(
                endpoint.id(),
                endpoint.identity().failureDomain(),
                spec.slots() - endpoint.state().inFlight(),
                capacity.freeBytes(endpoint.key(), spec.resultCapacityBytes()),
                endpoint.state().estimatedLoad() + random.nextDouble() / 2);
    }

    /** Returns the endpoint of a planned call. */
    RelayEndpoint endpointOf(CallPlanner.EndpointCapacity maker) {
        return serving.stream()
                .filter(endpoint -> endpoint.id().equals(maker.endpointId()))
                .findFirst()
                .orElseThrow();
    }

    /** Returns when an endpoint surely has room for a group, in ms of the monotonic clock. */
    long capacityAtMs(PieceGroup group) {
        return serving.stream()
                .mapToLong(endpoint ->
                        capacity.capacityAtMs(endpoint.key(), spec.resultCapacityBytes(), group.neededBytes(spec)))
                .min()
                .orElse(nowMs);
    }

    /** Calls that are over when they should be still hold their slot for as long again, as far as anyone knows. */
    PoolForecast forecast(Collection<PoolCall> underWay, CallTimeEstimator times) {
        Set<String> ids = serving.stream().map(RelayEndpoint::id).collect(Collectors.toSet());
        List<Long> freeAtMs = new ArrayList<>();
        for (PoolCall call : underWay) {
            if (ids.contains(call.endpointId())) {
                freeAtMs.add(call.expectedEndAtMs(nowMs));
            }
        }
        for (RelayEndpoint endpoint : serving) {
            for (int slot = endpoint.state().inFlight(); slot < spec.slots(); slot++) {
                freeAtMs.add(nowMs);
            }
        }
        return new PoolForecast(freeAtMs, spec.maxBatchSize(), pieces -> times.callMs(spec, pieces));
    }
}
