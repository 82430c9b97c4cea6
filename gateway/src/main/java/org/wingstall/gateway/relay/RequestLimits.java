package org.wingstall.gateway.relay;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.wingstall.core.limit.StatedLimits;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.limit.LimitExchange;
import org.wingstall.peer.PeerMesh;
import org.wingstall.relay.config.ServiceSpec;
import org.wingstall.relay.control.RelayState;
import org.wingstall.relay.endpoint.FixedColdShares;
import org.wingstall.relay.endpoint.LimitReader;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.endpoint.SendLimits;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.pool.PieceGathering;
import org.wingstall.schema.settings.RelaySettings;

/** What a gateway knows of the requests that endpoints take, and what keeps it to that. Confined to the request loop. */
final class RequestLimits {
    private final StatedLimits stated;
    private final LimitReader answers;
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
     * @param metrics counts endpoints that are left out
     */
    RequestLimits(
            Supplier<RelaySettings> settings,
            EventLoop loop,
            MonotonicClock clock,
            RelayState state,
            PeerMesh mesh,
            PieceGathering gathering,
            BooleanSupplier settled,
            RelayMetrics metrics) {
        RelaySettings atStart = settings.get();
        this.stated = LimitExchange.over(atStart.getBoxId(), mesh.limits(), clock);
        this.answers = new LimitReader(stated);
        KnownFleet fleet = new KnownFleet(
                atStart.getBoxId(),
                atStart.getFailureDomain(),
                mesh,
                settled,
                service -> gathering.gathererOf(service) == null);
        this.sends = SendLimits.builder(clock, fleet)
                .cold(
                        service -> state.config().service(service).flatMap(ServiceSpec::cold),
                        () -> coldOverrun(settings.get()),
                        new FixedColdShares())
                .stated(stated)
                .build(metrics);
        sends.start(loop);
    }

    private static SendLimits.ColdOverrun coldOverrun(RelaySettings settings) {
        return new SendLimits.ColdOverrun(settings.getColdOverrun(), settings.getColdTolerance());
    }

    StatedLimits stated() {
        return stated;
    }

    LimitReader answers() {
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
