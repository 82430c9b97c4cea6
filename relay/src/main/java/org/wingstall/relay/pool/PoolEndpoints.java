package org.wingstall.relay.pool;

import java.util.List;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.SendLimits.SelectionMode;

/** Selects the endpoints of one pool that this box may call. Confined to the request loop. */
final class PoolEndpoints {
    private final String service;
    private final PoolContext context;

    PoolEndpoints(String service, PoolContext context) {
        this.service = service;
        this.context = context;
    }

    /** Returns all endpoints of the service that are listed. */
    List<RelayEndpoint> all() {
        return context.endpoints().ofService(service);
    }

    /** Returns the endpoints that can be called now. */
    List<RelayEndpoint> serving() {
        return withinLimits(usable());
    }

    /** Returns those of some endpoints whose rate limit allows a call now. */
    List<RelayEndpoint> withinLimits(List<RelayEndpoint> endpoints) {
        return context.limits().withinLimits(endpoints, SelectionMode.COORDINATOR);
    }

    private List<RelayEndpoint> usable() {
        return all().stream().filter(RelayEndpoint::usable).toList();
    }

    /** Returns whether an endpoint may become usable again. */
    boolean mayComeBack() {
        return all().stream().anyMatch(endpoint -> !endpoint.state().leaving());
    }

    /** Returns the time until a rate limit, or the pause that an endpoint asked for, allows a call, in ms; 0 for now. */
    long nextCallInMs() {
        List<RelayEndpoint> usable = usable();
        return usable.isEmpty()
                ? all().stream()
                        .filter(RelayEndpoint::usableByOthers)
                        .mapToLong(RelayEndpoint::closedForMs)
                        .min()
                        .orElse(0)
                : context.limits().retryAfterMs(usable, SelectionMode.COORDINATOR);
    }
}
