package org.wingstall.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.wingstall.core.peer.HeartbeatThrottle;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.core.peer.RendezvousHash;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.WorkspaceDemand;

/**
 * What is known of the peers, by their last heartbeats, and whom that makes the choice for a purpose.
 *
 * <p>Read on any thread. A heartbeat changes one entry, since a box that works for hundreds hears as many each 0.4 s. A wrong or late choice costs efficiency only.
 *
 * <p>{@code if (peers.amongFirst("engine-orders", 2)) { takeLease(); }}
 *
 * @since 0.1
 */
public final class PeerTable {
    private final LinkPlan.Box self;
    private final long silentAfterMs;
    private final Predicate<String> beatsSeldom;
    private final BooleanSupplier tableUnheard;
    private final PromptReplies replies;
    private final MonotonicClock clock;
    private final Map<String, PeerState> byBox = new ConcurrentHashMap<>();

    PeerTable(
            LinkPlan.Box self,
            long silentAfterMs,
            Predicate<String> beatsSeldom,
            BooleanSupplier tableUnheard,
            PromptReplies replies,
            MonotonicClock clock) {
        this.self = self;
        this.replies = replies;
        this.silentAfterMs = silentAfterMs;
        this.beatsSeldom = beatsSeldom;
        this.tableUnheard = tableUnheard;
        this.clock = clock;
    }

    /** Takes in a heartbeat, on the control loop. */
    void heard(Hello hello, Heartbeat heartbeat) {
        PeerState before = byBox.get(hello.getBoxId());
        List<WorkspaceDemand> known = before == null ? List.of() : before.demand();
        List<WorkspaceDemand> demand = heartbeat.getDemand() == null ? known : heartbeat.getDemand();
        PeerState state = new PeerState(
                hello,
                clock.nowMs(),
                heartbeat.getRevision(),
                heartbeat.isStopping(),
                heartbeat.isTableUnheard(),
                heartbeat.getListTag(),
                demand,
                heartbeat.getPoorlyReached() == null ? Set.of() : Set.copyOf(heartbeat.getPoorlyReached()));
        byBox.put(hello.getBoxId(), state);
    }

    /** Returns the peers, heard lately or not. */
    public Collection<PeerState> all() {
        return byBox.values();
    }

    /** Returns whether a peer was heard lately, and owes no reply that it gives at once. */
    public boolean heard(PeerState peer) {
        String boxId = peer.hello().getBoxId();
        long allowedMs =
                beatsSeldom.test(boxId) ? HeartbeatThrottle.NON_HUB_INTERVAL_TICKS * silentAfterMs : silentAfterMs;
        return peer.heardSince(clock.nowMs() - allowedMs) && !replies.overdue(boxId);
    }

    /** Returns whether a peer is in this gateway's failure domain. */
    public boolean inOwnDomain(PeerState peer) {
        return peer.hello().getFailureDomain().equals(self.failureDomain());
    }

    /** Returns the peers of this failure domain, heard lately or not. */
    List<PeerState> inDomain() {
        return all().stream().filter(this::inOwnDomain).toList();
    }

    /** Returns the entry boxes of this failure domain that are heard, this one included. */
    public int heardInDomain() {
        return heardBoxesInDomain().size();
    }

    /** Returns whether this box is among the first few that its failure domain would choose for a purpose. */
    public boolean amongFirst(String purpose, int count) {
        return RendezvousHash.top(purpose, heardBoxesInDomain(), count).contains(self.boxId());
    }

    /** Returns the boxes that are heard and not stopping, in whatever failure domain, this one not included. */
    public List<String> serving() {
        List<String> boxes = new ArrayList<>();
        for (PeerState peer : all()) {
            if (heard(peer) && !peer.stopping()) {
                boxes.add(peer.hello().getBoxId());
            }
        }
        return boxes;
    }

    /** Returns whether a peer of that name was heard lately. */
    public boolean heard(String boxId) {
        PeerState peer = byBox.get(boxId);
        return peer != null && heard(peer);
    }

    /** Returns the services of which a box that is heard reaches fewer than half of the endpoints. */
    public Set<String> poorlyReached() {
        Set<String> services = new HashSet<>();
        for (PeerState peer : all()) {
            if (!peer.poorlyReached().isEmpty() && heard(peer)) {
                services.addAll(peer.poorlyReached());
            }
        }
        return services;
    }

    /** Returns whether a peer reaches the endpoints of a service, as far as it has told. */
    public boolean reaches(String boxId, String service) {
        PeerState peer = byBox.get(boxId);
        return peer == null || !peer.poorlyReached().contains(service);
    }

    /**
     * Returns the other failure domains of which boxes are known and none is heard. Boxes that are heard seldom don't count:
     * their silence would show seconds later.
     */
    public Set<String> silentDomains() {
        Set<String> silent = new HashSet<>();
        Set<String> heard = new HashSet<>(Set.of(self.failureDomain()));
        for (PeerState peer : all()) {
            if (beatsSeldom.test(peer.hello().getBoxId())) {
                continue;
            }
            (heard(peer) ? heard : silent).add(peer.hello().getFailureDomain());
        }
        silent.removeAll(heard);
        return silent;
    }

    /**
     * Returns the other failure domains that may be cut off: none of their boxes is heard, or one of them owes a reply that it
     * gives at once. Whoever asks about their endpoints finds out.
     */
    public Set<String> doubtfulDomains() {
        Set<String> doubtful = silentDomains();
        for (PeerState peer : all()) {
            if (!inOwnDomain(peer) && replies.overdue(peer.hello().getBoxId())) {
                doubtful.add(peer.hello().getFailureDomain());
            }
        }
        return doubtful;
    }

    /** Returns the box that commits claims for this failure domain at the moment; may be this one. */
    public String batcher() {
        List<String> boxes = committing(true);
        if (boxes.isEmpty()) {
            boxes = committing(false);
        }
        return boxes.isEmpty()
                ? self.boxId()
                : RendezvousHash.top("claims", boxes, 1).get(0);
    }

    /** Returns whether this box or a peer that it has a link to gets answers from the platform's table. */
    public boolean tableReachable() {
        return !tableUnheard.getAsBoolean() || all().stream().anyMatch(this::commits);
    }

    /** Returns the tags of the membership lists that boxes of this failure domain read lately. */
    public Set<Integer> listTags() {
        Set<Integer> tags = new HashSet<>();
        for (PeerState peer : inDomain()) {
            if (heard(peer) && peer.listTag() != 0) {
                tags.add(peer.listTag());
            }
        }
        return tags;
    }

    private List<String> heardBoxesInDomain() {
        List<String> boxes = new ArrayList<>();
        boxes.add(self.boxId());
        for (PeerState peer : inDomain()) {
            if (heard(peer)) {
                boxes.add(peer.hello().getBoxId());
            }
        }
        return boxes;
    }

    private boolean commits(PeerState peer) {
        return heard(peer) && !peer.stopping() && !peer.tableUnheard();
    }

    /** Returns the boxes, in this failure domain or in others, that get answers from the platform's table. */
    private List<String> committing(boolean inOwnDomain) {
        List<String> boxes = new ArrayList<>();
        if (inOwnDomain && !tableUnheard.getAsBoolean()) {
            boxes.add(self.boxId());
        }
        for (PeerState peer : all()) {
            if (commits(peer) && inOwnDomain(peer) == inOwnDomain) {
                boxes.add(peer.hello().getBoxId());
            }
        }
        return boxes;
    }
}
