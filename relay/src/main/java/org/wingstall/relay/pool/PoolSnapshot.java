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
 * A snapshot of the endpoints that can be called, as the policies see them. Taken once for each dispatch, in which
 * several calls may be planned. Confined to the request loop.
 *
 * <p>{@code new PoolSnapshot(spec, serving, capacity, nowMs).capacities(open, random)}
 *
 * @param spec call times and limits of the endpoints
 * @param serving endpoints that can be called, at least one
 * @param capacity free result capacity of the endpoints
 * @param nowMs monotonic clock, in ms
 */
record PoolSnapshot(PoolSpec spec, List<RelayEndpoint> serving, ResultCapacityTracker capacity, long nowMs) {

    /** Returns the slots and result capacity of endpoints that are left after the calls planned so far. */
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
    RelayEndpoint endpointOf(CallPlanner.EndpointCapacity planned) {
        return serving.stream()
                .filter(endpoint -> endpoint.id().equals(planned.endpointId()))
                .findFirst()
                .orElseThrow();
    }

    /** Returns when the first endpoint has result capacity for a group, in ms of the monotonic clock. */
    long capacityAtMs(PieceGroup group) {
        return serving.stream()
                .mapToLong(endpoint ->
                        capacity.capacityAtMs(endpoint.key(), spec.resultCapacityBytes(), group.neededBytes(spec)))
                .min()
                .orElse(nowMs);
    }

    /**
     * Returns a forecast of the free slots; an overdue call is expected to hold its slot as long again as it is
     * overdue.
     */
    PoolForecast forecast(Collection<PoolCall> activeCalls, CallTimeEstimator times) {
        Set<String> ids = serving.stream().map(RelayEndpoint::id).collect(Collectors.toSet());
        List<Long> freeAtMs = new ArrayList<>();
        for (PoolCall call : activeCalls) {
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
