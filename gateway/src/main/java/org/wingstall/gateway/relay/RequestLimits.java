package org.wingstall.gateway.relay;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.limit.LimitExchange;
import org.wingstall.gateway.limit.RejectionExchange;
import org.wingstall.peer.PeerMesh;
import org.wingstall.relay.config.ServiceSpec;
import org.wingstall.relay.control.RelayState;
import org.wingstall.relay.endpoint.EqualColdStartShares;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.endpoint.SendLimits;
import org.wingstall.relay.endpoint.StatementReader;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.pool.CoordinatorSelector;
import org.wingstall.schema.settings.RelaySettings;

/** What a gateway knows of the requests that endpoints take, and what keeps it to that. Confined to the request loop. */
final class RequestLimits {
    private final AdvertisedLimits stated;
    private final StatementReader answers;
    private final SendLimits sends;

    /**
     * Creates limits and begins to follow for which part of the fleet this box chooses.
     *
     * @param settings settings in force
     * @param loop the request loop
     * @param clock monotonic clock
     * @param state the configuration in force
     * @param mesh links to the other boxes
     * @param gathering says which box chooses for a service
     * @param settled whether this box has had time to learn of all others
     * @param endpoints endpoints of all services
     * @param metrics counts endpoints that are left out
     */
    RequestLimits(
            Supplier<RelaySettings> settings,
            EventLoop loop,
            MonotonicClock clock,
            RelayState state,
            PeerMesh mesh,
            CoordinatorSelector gathering,
            BooleanSupplier settled,
            RelayEndpoints endpoints,
            RelayMetrics metrics) {
        RelaySettings atStart = settings.get();
        this.stated = LimitExchange.over(atStart.getBoxId(), mesh.limits(), clock);
        this.answers = new StatementReader(
                stated,
                endpoints,
                metrics,
                RejectionExchange.over(atStart.getBoxId(), mesh.rejections(), endpoints, clock));
        KnownFleet fleet = new KnownFleet(
                atStart.getBoxId(),
                atStart.getFailureDomain(),
                mesh,
                settled,
                service -> gathering.coordinatorOf(service) == null);
        this.sends = SendLimits.builder(clock, fleet)
                .limitColdStarts(
                        service -> state.config().service(service).flatMap(ServiceSpec::coldStart),
                        () -> coldOverrun(settings.get()),
                        new EqualColdStartShares())
                .limitAdvertised(stated)
                .build(metrics);
        sends.start(loop);
    }

    private static SendLimits.ColdStartBurst coldOverrun(RelaySettings settings) {
        return new SendLimits.ColdStartBurst(settings.getColdOverrun(), settings.getColdTolerance());
    }

    AdvertisedLimits stated() {
        return stated;
    }

    StatementReader answers() {
        return answers;
    }

    SendLimits sends() {
        return sends;
    }

    /** Drops what is known of endpoints that are gone. */
    void endpointsChanged(RelayEndpoints endpoints) {
        Set<String> listed = endpoints.all().stream().map(RelayEndpoint::key).collect(Collectors.toSet());
        stated.retain(listed);
    }
}
