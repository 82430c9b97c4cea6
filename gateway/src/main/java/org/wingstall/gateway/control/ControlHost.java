package org.wingstall.gateway.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.core.limit.DemandTotals;
import org.wingstall.core.limit.WorkspaceLimiter;
import org.wingstall.core.member.EndpointRegistry;
import org.wingstall.core.member.MemberSnapshot;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.claim.ClaimKeeper;
import org.wingstall.net.log.LogEvent;
import org.wingstall.peer.PeerHost;
import org.wingstall.peer.PeerMesh;
import org.wingstall.peer.PeerState;
import org.wingstall.peer.RowHost;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.peer.ConfigReply;
import org.wingstall.schema.peer.DomainSummary;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.LeavingHint;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.table.ConfigCell;

/**
 * Joins a gateway's state with what its peers tell.
 *
 * <p>{@code ControlHost host = new ControlHost(parts); host.attach(mesh, members, claims);}
 *
 * @since 0.1
 */
public final class ControlHost implements PeerHost, RowHost {
    private static final Logger LOG = LogManager.getLogger(ControlHost.class);

    private final ConfigStore config;
    private final EndpointRegistry registry;
    private final WorkspaceLimiter limiter;
    private final BooleanSupplier stopping;
    private final BooleanSupplier tableUnheard;
    private final LeavingHints hints;
    private final Runnable endpointsChanged;
    private PeerMesh mesh;
    private MemberFollower members;
    private ClaimKeeper claims;

    /**
     * Creates the host.
     *
     * @param config the configuration in force
     * @param registry endpoints
     * @param limiter limits of workspaces
     * @param clock clock of hints
     * @param stopping whether a planned stop has begun
     * @param tableUnheard whether the platform's table gives no answers
     * @param endpointsChanged told when endpoints or limits changed
     */
    public ControlHost(
            ConfigStore config,
            EndpointRegistry registry,
            WorkspaceLimiter limiter,
            MonotonicClock clock,
            BooleanSupplier stopping,
            BooleanSupplier tableUnheard,
            Runnable endpointsChanged) {
        this.config = config;
        this.registry = registry;
        this.limiter = limiter;
        this.stopping = stopping;
        this.tableUnheard = tableUnheard;
        this.hints = new LeavingHints(clock);
        this.endpointsChanged = endpointsChanged;
    }

    /** Connects the host with the parts that were made from it. */
    public void attach(PeerMesh peerMesh, MemberFollower memberFollower, ClaimKeeper claimKeeper) {
        mesh = peerMesh;
        mesh.rows().attach(this);
        members = memberFollower;
        claims = claimKeeper;
    }

    @Override
    public long revision() {
        return config.current().revision();
    }

    @Override
    public boolean starting() {
        return revision() == 0 || !registry.hasMemberList();
    }

    @Override
    public boolean tableUnheard() {
        return tableUnheard.getAsBoolean();
    }

    @Override
    public Heartbeat heartbeat() {
        updateLimits();
        return new Heartbeat(
                revision(),
                stopping.getAsBoolean(),
                hints.current(),
                limiter.demand(),
                List.of(),
                tableUnheard(),
                members.tagReadLately(),
                0,
                0,
                null,
                0,
                0,
                null,
                0);
    }

    private void updateLimits() {
        DemandTotals others = new DemandTotals();
        int heard = 1;
        for (PeerState peer : mesh.peers().all()) {
            boolean inDomain = mesh.peers().inOwnDomain(peer);
            if (inDomain && mesh.peers().heard(peer)) {
                heard++;
                others.add(peer.demand());
            }
        }
        for (DomainSummary domain : mesh.domains()) {
            heard += domain.getBoxes();
            others.add(domain.getDemand());
        }
        limiter.updateFleet(mesh.knownBoxes(), heard, others.perSecond(), mesh.fullHeartbeatMs());
    }

    @Override
    public boolean heard(Heartbeat heartbeat) {
        boolean news = false;
        if (heartbeat.getLeaving() != null) {
            for (LeavingHint hint : heartbeat.getLeaving()) {
                news |= learnLeaving(hint.getMemberId(), hint.getIncarnation(), "peer");
            }
        }
        return news;
    }

    /** Records an endpoint whose own answer says that it is leaving, and tells peers at once. */
    public void endpointSaysLeaving(EndpointState endpoint) {
        if (learnLeaving(endpoint.identity().memberId(), endpoint.identity().incarnation(), "endpoint")) {
            mesh.beatNow();
        }
    }

    /** Records endpoints that the list newly says are leaving; a peer may not be able to read the list. */
    public void listSaysLeaving(List<EndpointState> endpoints) {
        for (EndpointState endpoint : endpoints) {
            tellLeaving(endpoint.identity().memberId(), endpoint.identity().incarnation(), "list");
        }
        if (!endpoints.isEmpty()) {
            mesh.beatNow();
        }
    }

    private boolean learnLeaving(String memberId, long incarnation, String from) {
        if (!registry.markLeaving(memberId, incarnation)) {
            return false;
        }
        tellLeaving(memberId, incarnation, from);
        endpointsChanged.run();
        return true;
    }

    private void tellLeaving(String memberId, long incarnation, String from) {
        hints.add(memberId, incarnation);
        LogEvent.info("endpoint-leaving")
                .with("endpoint", memberId)
                .with("from", from)
                .to(LOG);
    }

    @Override
    public ConfigReply configAfter(long revision) {
        long mine = config.current().revision();
        Optional<List<ConfigCell>> delta = revision == 0 ? Optional.empty() : config.cellsAfter(revision);
        if (delta.isPresent()) {
            return new ConfigReply(mine, false, delta.get(), null, null);
        }
        MemberSnapshot list = members.last();
        return new ConfigReply(mine, true, config.current().cells(), list.members(), list.tag());
    }

    @Override
    public void configReceived(long afterRevision, ConfigReply reply) {
        List<ConfigCell> cells = reply.getCells() == null ? List.of() : reply.getCells();
        boolean taken = reply.isComplete()
                ? config.offerComplete(reply.getRevision(), cells)
                : config.offerPeerDelta(afterRevision, reply.getRevision(), cells);
        members.offerFromPeer(listOf(reply));
        if (taken) {
            LogEvent.info("config-in-force")
                    .with("revision", revision())
                    .with("from", "peer")
                    .to(LOG);
            endpointsChanged.run();
        }
    }

    private static MemberSnapshot listOf(ConfigReply reply) {
        if (reply.getMembers() == null) {
            return MemberSnapshot.NONE;
        }
        String tag = reply.getMemberTag() == null ? "" : reply.getMemberTag();
        return new MemberSnapshot(tag, reply.getMembers());
    }

    @Override
    public void membersChanged(MemberNews news) {
        members.newsFromPeer(news);
    }

    @Override
    public CompletableFuture<ClaimReply> commit(ClaimRequest request) {
        return claims.commitForPeer(request);
    }
}
