package org.wingstall.gateway.run;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.core.member.EndpointRegistry;
import org.wingstall.core.queue.WaitEstimator;
import org.wingstall.core.queue.WaitQueue;
import org.wingstall.core.route.Candidate;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.route.Router;
import org.wingstall.core.route.Routers;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.settings.Policy;
import org.wingstall.schema.table.BoxClassRow;

/**
 * The gates of all services, and how many calls this gateway may have at each endpoint.
 *
 * <p>An endpoint's limit is divided evenly among the gateways that share it: those heard in its failure domain, or all
 * known ones for an endpoint of another domain.
 *
 * <p>{@code gates.drainAll();}
 *
 * @since 0.1
 */
public final class ServiceGates {
    private static final BoxClassRow UNKNOWN_CLASS = new BoxClassRow("unknown", 8, 1);

    private final EndpointRegistry registry;
    private final ConfigStore config;
    private final Policy policy;
    private final String failureDomain;
    private final IntSupplier boxesInDomain;
    private final IntSupplier boxesInFleet;
    private final MonotonicClock clock;
    private final Router router;
    private final Map<String, ServiceGate> gates = new ConcurrentHashMap<>();

    /**
     * Creates the gates.
     *
     * @param registry endpoints
     * @param config box classes
     * @param policy settings of the policy
     * @param failureDomain failure domain of this gateway
     * @param boxesInDomain entry boxes heard in the failure domain
     * @param boxesInFleet entry boxes known in the fleet
     * @param clock monotonic clock
     */
    public ServiceGates(
            EndpointRegistry registry,
            ConfigStore config,
            Policy policy,
            String failureDomain,
            IntSupplier boxesInDomain,
            IntSupplier boxesInFleet,
            MonotonicClock clock) {
        this.registry = registry;
        this.config = config;
        this.policy = policy;
        this.failureDomain = failureDomain;
        this.boxesInDomain = boxesInDomain;
        this.boxesInFleet = boxesInFleet;
        this.clock = clock;
        this.router = Routers.of(policy, RandomGenerator.of("SplittableRandom"));
    }

    ServiceGate of(String service) {
        return gates.computeIfAbsent(service, this::newGate);
    }

    /** Serves those who wait at any gate, after endpoints or limits changed. */
    public void drainAll() {
        gates.values().forEach(ServiceGate::drain);
    }

    /** Returns the stages that wait at all gates. */
    public int waiting() {
        return gates.values().stream().mapToInt(ServiceGate::waiting).sum();
    }

    private ServiceGate newGate(String service) {
        return new ServiceGate(
                () -> candidatesOf(service),
                router,
                failureDomain,
                policy.isSpillover(),
                WaitQueue.of(policy),
                WaitEstimator.of(policy, clock));
    }

    private List<Candidate> candidatesOf(String service) {
        return registry.endpointsOf(service).stream().map(this::candidate).toList();
    }

    private Candidate candidate(EndpointState endpoint) {
        BoxClassRow row =
                config.current().boxClass(endpoint.identity().boxClass()).orElse(UNKNOWN_CLASS);
        boolean local = endpoint.identity().failureDomain().equals(failureDomain);
        int sharers = local ? boxesInDomain.getAsInt() : boxesInFleet.getAsInt();
        int window = (row.getMaxInFlight() + sharers - 1) / sharers;
        return new Candidate(endpoint, window, row.getMaxInFlight(), row.getSpeed());
    }
}
