package org.wingstall.gateway.relay;

import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.gateway.crash.CrashReports;
import org.wingstall.net.SheddingGate;
import org.wingstall.net.http.HttpServer;
import org.wingstall.peer.PeerMesh;
import org.wingstall.relay.control.ConfigFreshness;
import org.wingstall.relay.control.EvacuationState;
import org.wingstall.relay.control.RelayState;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.pool.StagePools;
import org.wingstall.relay.run.RelayHandler;
import org.wingstall.relay.stream.StreamOrigins;

/** Shows what a gateway knows and has under way as gauges; see OPERATIONS.md for their meaning. */
final class RelayGauges {
    private final RelayMetrics metrics;

    RelayGauges(RelayMetrics metrics) {
        this.metrics = metrics;
    }

    /** Shows what it goes by. */
    void ofKnowledge(
            RelayState state, ConfigFreshness freshness, EvacuationState evacuations, RelayEndpoints endpoints) {
        metrics.gauge("wingstall.config.version", () -> state.config().version());
        metrics.gauge("wingstall.config.age.ms", freshness::ageMs);
        metrics.gauge("wingstall.endpoints.age.ms", endpoints::ageMs);
        metrics.gauge(
                "wingstall.domains.evacuated",
                () -> evacuations.current().failureDomains().size());
    }

    /** Shows which endpoints it reaches. */
    void ofReach(EndpointAccess access) {
        metrics.gauge("wingstall.answers.held.bytes", access.client()::bytesHeld);
        metrics.gauge("wingstall.endpoints.paths.lost", access::lostPaths);
        metrics.gauge("wingstall.endpoints.reached", access.reach()::reachedEndpoints);
        metrics.gauge(
                "wingstall.services.poorly.reached",
                () -> access.reach().poorlyReached().size());
    }

    /** Shows what it knows of the platform's store. */
    void ofStore(StoreFollowers store) {
        metrics.gauge("wingstall.store.era", store::storeEra);
        metrics.gauge("wingstall.store.calls.repeated", store::repeatedCalls);
        metrics.gauge("wingstall.config.peer.taken", store.peerConfig()::taken);
        metrics.gauge("wingstall.config.peer.rejected", store.peerConfig()::rejected);
        metrics.gauge("wingstall.config.peer.unanswered", store.peerConfig()::unanswered);
    }

    /** Shows what is under way. */
    void ofWork(RelayHandler handler, StagePools pools, HttpServer callers, SheddingGate gate) {
        metrics.gauge("wingstall.requests.in.flight", handler::inFlight);
        metrics.gauge("wingstall.stages.waiting", pools::waiting);
        metrics.gauge("wingstall.caller.connections", callers::connections);
        metrics.gauge("wingstall.caller.connections.waiting", gate::waiting);
        metrics.gauge("wingstall.caller.connections.shedding", () -> gate.overloaded() ? 1 : 0);
    }

    /** Shows what it keeps of streams that callers may resume. */
    void ofStreams(StreamOrigins origins) {
        metrics.gauge("wingstall.stream.origins", origins::size);
    }

    /** Shows what it shares with other boxes. */
    void ofFleet(PeerMesh mesh, CrashReports crashes, AdvertisedLimits limits) {
        metrics.gauge("wingstall.endpoints.limited", () -> limits.activeLimits().size());
        metrics.gauge("wingstall.tunnels.carried", mesh.tunnels()::carried);
        metrics.gauge("wingstall.peers.heard", () -> mesh.peers().serving().size());
        metrics.gauge("wingstall.peer.links.silent", mesh::silentLinks);
        metrics.gauge("wingstall.requests.held.back", () -> crashes.quarantine().quarantinedRequests());
        metrics.gauge(
                "wingstall.prompt.parts.held.back", () -> crashes.quarantine().quarantinedParts());
        metrics.gauge("wingstall.losses.after.end", crashes::lossesAfterEnd);
        metrics.gauge("wingstall.crash.reports.sent", crashes::sentReports);
        metrics.gauge("wingstall.crash.reports.settled", crashes::settledReports);
    }
}
