package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * A snapshot of the endpoints that can be called, as the policies see them. Taken once for each dispatch, in which
 * several calls may be planned. Confined to the request loop.
 *
 * <p>{@code new PoolSnapshot(spec, serving, capacity, callTimes, nowMs).capacities(open, calls, random)}
 *
 * @param spec call times and limits of the endpoints
 * @param serving endpoints that can be called, at least one
 * @param capacity free result capacity of the endpoints
 * @param callTimes expected duration of calls to each endpoint
 * @param nowMs monotonic clock, in ms
 */
record PoolSnapshot(
        PoolSpec spec,
        List<RelayEndpoint> serving,
        ResultCapacityTracker capacity,
        EndpointCallTimes callTimes,
        long nowMs) {

    /** Returns the slots and result capacity of endpoints that are left after the calls planned so far. */
    List<CallPlanner.EndpointCapacity> capacities(
            List<RelayEndpoint> open, Collection<PoolCall> activeCalls, RandomGenerator random) {
        if (allAlike()) {
            return open.stream()
                    .map(endpoint -> capacityOf(endpoint, CallPlanner.Pace.USUAL, random))
                    .toList();
        }
        return open.stream()
                .map(endpoint -> capacityOf(endpoint, paceOf(endpoint, activeCalls), random))
                .toList();
    }

    private boolean allAlike() {
        return serving.stream().allMatch(endpoint -> callTimes.slowdown(endpoint) == 1);
    }

    private CallPlanner.Pace paceOf(RelayEndpoint endpoint, Collection<PoolCall> activeCalls) {
        List<Long> freeAtMs = new ArrayList<>();
        for (PoolCall call : activeCalls) {
            if (call.endpointId().equals(endpoint.id())) {
                freeAtMs.add(call.expectedEndAtMs(nowMs));
            }
        }
        for (int slot = endpoint.state().inFlight(); slot < spec.slots(); slot++) {
            freeAtMs.add(nowMs);
        }
        boolean running = endpoint.state().inFlight() > 0;
        return new CallPlanner.Pace(
                callTimes.slowdown(endpoint),
                freeAtMs,
                running ? 0 : callTimes.usual().slowdowns().untestedMs(endpoint.key(), nowMs));
    }

    private CallPlanner.EndpointCapacity capacityOf(
            RelayEndpoint endpoint, CallPlanner.Pace pace, RandomGenerator random) {
        return new CallPlanner.EndpointCapacity(
                endpoint.id(),
                endpoint.identity().failureDomain(),
                spec.slots() - endpoint.state().inFlight(),
                capacity.freeBytes(endpoint.key(), spec.resultCapacityBytes()),
                endpoint.state().estimatedLoad() + random.nextDouble() / 2,
                pace);
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
    PoolForecast forecast(Collection<PoolCall> activeCalls) {
        Map<String, Double> factors =
                serving.stream().collect(Collectors.toMap(RelayEndpoint::id, callTimes::slowdown, (a, b) -> a));
        List<Long> freeAtMs = new ArrayList<>();
        List<Double> slowdownOfSlots = new ArrayList<>();
        for (PoolCall call : activeCalls) {
            Double factor = factors.get(call.endpointId());
            if (factor != null) {
                freeAtMs.add(call.expectedEndAtMs(nowMs));
                slowdownOfSlots.add(factor);
            }
        }
        for (RelayEndpoint endpoint : serving) {
            for (int slot = endpoint.state().inFlight(); slot < spec.slots(); slot++) {
                freeAtMs.add(nowMs);
                slowdownOfSlots.add(factors.get(endpoint.id()));
            }
        }
        return new PoolForecast(
                freeAtMs, spec.maxBatchSize(), pieces -> callTimes.usual().callMs(spec, pieces), slowdownOfSlots);
    }
}
