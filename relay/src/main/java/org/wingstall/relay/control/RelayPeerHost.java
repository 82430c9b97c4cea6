package org.wingstall.relay.control;

import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.wingstall.core.member.StoreVersion;
import org.wingstall.peer.PeerHost;
import org.wingstall.relay.config.Evacuations;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.MemberNews;

/**
 * Connects a box to its peer links: sends its versions, evacuations, list and stopping state, and applies those of
 * peers.
 *
 * <p>{@code new RelayPeerHost(state, evacuations, stopping, follower::onNewerVersion, () -> list, reach::poorlyReached, freshness)}
 *
 * @since 0.2
 */
public final class RelayPeerHost implements PeerHost {
    private final RelayState state;
    private final EvacuationState evacuations;
    private final BooleanSupplier stopping;
    private final LongConsumer newerVersionListener;
    private final Supplier<ListFollower> listFollower;
    private final Supplier<Set<String>> poorlyReached;
    private final ConfigFreshness freshness;

    /**
     * Creates the host.
     *
     * @param state the configuration in force
     * @param evacuations the evacuations in force
     * @param stopping whether a planned stop has begun
     * @param newerVersionListener receives versions of the configuration that peers have and this box lacks
     * @param listFollower follower of the endpoint list
     * @param poorlyReached services of which this box reaches fewer than half of the endpoints
     * @param freshness when the configuration was confirmed
     */
    public RelayPeerHost(
            RelayState state,
            EvacuationState evacuations,
            BooleanSupplier stopping,
            LongConsumer newerVersionListener,
            Supplier<ListFollower> listFollower,
            Supplier<Set<String>> poorlyReached,
            ConfigFreshness freshness) {
        this.freshness = freshness;
        this.state = state;
        this.evacuations = evacuations;
        this.stopping = stopping;
        this.newerVersionListener = newerVersionListener;
        this.listFollower = listFollower;
        this.poorlyReached = poorlyReached;
    }

    @Override
    public long revision() {
        return state.config().version();
    }

    @Override
    public Heartbeat heartbeat() {
        ListFollower follower = listFollower.get();
        Evacuations evacuated = evacuations.asRead();
        Set<String> domains = evacuated.failureDomains();
        Set<String> poor = poorlyReached.get();
        return new Heartbeat(
                revision(),
                stopping.getAsBoolean(),
                List.of(),
                List.of(),
                List.of(),
                follower.sourceUnavailable(),
                follower.freshTag(),
                follower.listVersion().number(),
                evacuated.asOfVersion().number(),
                domains.isEmpty() ? null : List.copyOf(domains),
                follower.listVersion().era(),
                evacuated.asOfVersion().era(),
                poor.isEmpty() ? null : List.copyOf(poor),
                freshness.storeAgeMs());
    }

    @Override
    public boolean heard(Heartbeat heartbeat) {
        if (heartbeat.getRevision() > revision()) {
            newerVersionListener.accept(heartbeat.getRevision());
        } else if (heartbeat.getRevision() == revision() && heartbeat.getConfigAgeMs() > 0) {
            freshness.confirmedByPeer(heartbeat.getConfigAgeMs());
        }
        List<String> evacuated = heartbeat.getEvacuated() == null ? List.of() : heartbeat.getEvacuated();
        StoreVersion asOf = new StoreVersion(heartbeat.getEvacuatedEra(), heartbeat.getEvacuatedAsOf());
        StoreVersion known = evacuations.asRead().asOfVersion();
        evacuations.updateIfNewer(new Evacuations(asOf.orEraOf(known), Set.copyOf(evacuated)), "peer");
        listFollower
                .get()
                .onPeerList(
                        heartbeat.getListTag(), new StoreVersion(heartbeat.getListEra(), heartbeat.getListVersion()));
        return false;
    }

    @Override
    public void membersChanged(MemberNews news) {
        listFollower.get().onPeerChange(news);
    }
}
