package org.wingstall.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.peer.HeartbeatPacer;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.core.peer.Rendezvous;
import org.wingstall.core.time.Jitter;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;
import org.wingstall.net.frame.FrameCodec;
import org.wingstall.net.frame.MessagePack;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.peer.DomainSummary;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.WorkspaceDemand;
import org.wingstall.schema.platform.Member;

/**
 * The links of a gateway to its peers: all in its failure domain, a few across. Runs on one event loop, the control loop.
 *
 * <p>{@code mesh.start(); ... mesh.batcher().ifPresent(box -> mesh.forward(box, request));}
 *
 * @since 0.1
 */
public final class PeerMesh implements PeerLink.LinkEvents {
    private static final Logger LOG = LogManager.getLogger(PeerMesh.class);

    private final PeerOptions options;
    private final PeerHost host;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final HeartbeatPacer pacer;
    private final LinkPlan.Box self;
    private final ByteCounter bytes = new ByteCounter();
    private final Directory directory = new Directory();
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Dialer dialer;
    private final ForwardedClaims forwarded;
    private final DomainTable domains;
    private volatile Map<String, PeerState> peers = Map.of();
    private volatile int knownBoxes = 1;
    private Channel listener;
    private volatile HeartbeatPacer.Plan plan = new HeartbeatPacer.Plan(0, 1);
    private int sinceFull;

    /**
     * Creates the mesh.
     *
     * @param options how the gateway takes part
     * @param host the gateway
     * @param loop the control loop
     * @param clock clock of silence and ages
     */
    public PeerMesh(PeerOptions options, PeerHost host, EventLoop loop, MonotonicClock clock) {
        this.options = options;
        this.host = host;
        this.loop = loop;
        this.clock = clock;
        this.pacer = new HeartbeatPacer(options.heartbeatMs(), options.budgetBytesPerSecond());
        this.self = new LinkPlan.Box(options.hello().getBoxId(), options.hello().getFailureDomain());
        this.forwarded = new ForwardedClaims(loop);
        this.dialer = new Dialer(options, self, loop, directory, links, this::initializer);
        this.domains = new DomainTable(self.failureDomain(), options.silentAfterMs(), clock);
    }

    /**
     * Takes links and starts to dial.
     *
     * @throws BindException if the address can't be had
     */
    public void start() throws BindException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(null));
        ChannelFuture bound = bootstrap.bind(options.listenAddress()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new BindException(options.listenAddress(), bound.cause());
        }
        listener = bound.channel();
        loop.execute(this::tick);
    }

    /** Takes in a membership list. */
    public void applyList(List<Member> members) {
        loop.execute(() -> {
            directory.applyList(members, self.boxId());
            links.values().forEach(this::learn);
            knownBoxes = directory.size() + 1;
        });
    }

    /** Returns the peers by box, heard or not. */
    public Collection<PeerState> peers() {
        return peers.values();
    }

    /** Returns whether a peer was heard lately. */
    public boolean heard(PeerState peer) {
        return peer.heardSince(clock.nowMs() - options.silentAfterMs());
    }

    /** Returns whether a peer is in this gateway's failure domain. */
    public boolean inOwnDomain(PeerState peer) {
        return peer.hello().getFailureDomain().equals(self.failureDomain());
    }

    /** Returns the summaries of other failure domains. */
    public List<DomainSummary> domains() {
        return domains.fresh();
    }

    /** Returns the entry boxes in the fleet, this one included. */
    public int knownBoxes() {
        return knownBoxes;
    }

    /** Returns the entry boxes of this failure domain that are heard, this one included. */
    public int heardInDomain() {
        return 1 + (int) inDomain().stream().filter(this::heard).count();
    }

    /** Returns the time between two tellings of demand, in ms. */
    public long fullHeartbeatMs() {
        return plan.fullIntervalMs();
    }

    /** Returns bytes sent over all links, without headers of IP and TCP. */
    public long sentBytes() {
        return bytes.sentBytes();
    }

    /** Returns bytes received over all links, without headers of IP and TCP. */
    public long receivedBytes() {
        return bytes.receivedBytes();
    }

    /** Returns the box that commits claims for this failure domain at the moment; may be this one. */
    public String batcher() {
        List<String> boxes = committing(true);
        if (boxes.isEmpty()) {
            boxes = committing(false);
        }
        return boxes.isEmpty()
                ? self.boxId()
                : Rendezvous.top("claims", boxes, 1).get(0);
    }

    /** Returns whether this box is among the first few that its failure domain would choose for a purpose. */
    public boolean amongFirst(String purpose, int count) {
        List<String> boxes = new ArrayList<>(List.of(self.boxId()));
        inDomain().stream()
                .filter(this::heard)
                .forEach(peer -> boxes.add(peer.hello().getBoxId()));
        return Rendezvous.top(purpose, boxes, count).contains(self.boxId());
    }

    /** Returns whether this box or a peer that it has a link to gets answers from the platform's table. */
    public boolean tableReachable() {
        return !host.tableUnheard() || peers.values().stream().anyMatch(this::commits);
    }

    private boolean commits(PeerState peer) {
        return heard(peer) && !peer.stopping() && !peer.tableUnheard();
    }

    /** Returns the boxes, in this failure domain or in others, that get answers from the platform's table. */
    private List<String> committing(boolean inOwnDomain) {
        List<String> boxes = new ArrayList<>();
        if (inOwnDomain && !host.tableUnheard()) {
            boxes.add(self.boxId());
        }
        for (PeerState peer : peers.values()) {
            if (commits(peer) && inOwnDomain(peer) == inOwnDomain) {
                boxes.add(peer.hello().getBoxId());
            }
        }
        return boxes;
    }

    /** Sends a change of a claim to the box that commits it; the result is unanswered when no answer comes in time. */
    public CompletableFuture<ClaimReply> forward(String boxId, ClaimRequest request, long timeoutMs) {
        CompletableFuture<ClaimReply> reply = new CompletableFuture<>();
        loop.execute(() -> {
            PeerLink link = links.get(boxId);
            if (link == null || !link.active()) {
                reply.complete(ForwardedClaims.notSent());
            } else {
                link.send(Frames.claimRequest(forwarded.expect(reply, timeoutMs), request));
            }
        });
        return reply;
    }

    /** Sends a heartbeat to every peer now, because something changed that can't wait. */
    public void beatNow() {
        loop.execute(() -> sendHeartbeats(false));
    }

    /** Stops taking links. */
    public void close() {
        listener.close();
        loop.execute(() -> List.copyOf(links.values()).forEach(PeerLink::close));
    }

    private List<PeerState> inDomain() {
        return peers.values().stream().filter(this::inOwnDomain).toList();
    }

    private void tick() {
        dialer.dialMissing();
        sinceFull++;
        boolean full = sinceFull >= plan.fullEvery();
        sendHeartbeats(full);
        if (full) {
            sinceFull = 0;
        }
        long delayMs =
                Jitter.around(plan.intervalMs(), ThreadLocalRandom.current().nextDouble());
        loop.schedule(this::tick, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Sends a heartbeat on every link; what only efficiency needs goes along with full ones. */
    private void sendHeartbeats(boolean full) {
        Heartbeat own = host.heartbeat();
        Heartbeat plain =
                new Heartbeat(own.getRevision(), own.isStopping(), own.getLeaving(), null, null, own.isTableUnheard());
        Heartbeat inside = withDomains(own, domains.direct());
        DomainSummary ownDomain = domains.summarize(own, inDomain(), this::heard);
        Heartbeat across = withDomains(own, List.of(ownDomain));
        plan = pacer.plan(links.size(), frameBytes(plain), Math.max(frameBytes(inside), frameBytes(across)));
        for (PeerLink link : List.copyOf(links.values())) {
            boolean local = link.peer().getFailureDomain().equals(self.failureDomain());
            Heartbeat whole = local ? inside : across;
            link.send(Frames.heartbeat(full ? whole : plain));
        }
    }

    private static int frameBytes(Heartbeat heartbeat) {
        return MessagePack.write(Frames.heartbeat(heartbeat)).length + FrameCodec.LENGTH_BYTES;
    }

    private static Heartbeat withDomains(Heartbeat own, List<DomainSummary> summaries) {
        return new Heartbeat(
                own.getRevision(),
                own.isStopping(),
                own.getLeaving(),
                own.getDemand(),
                summaries,
                own.isTableUnheard());
    }

    private ChannelInitializer<SocketChannel> initializer(InetSocketAddress dialledAddress) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(bytes);
                FrameCodec.addTo(channel.pipeline(), PeerFrame.class);
                channel.pipeline().addLast(new PeerLink(PeerMesh.this, options.hello(), dialledAddress));
            }
        };
    }

    @Override
    public void opened(PeerLink link) {
        String boxId = link.peer().getBoxId();
        if (link.dialled()) {
            directory.answered(link.dialledAddress(), boxId);
        }
        PeerLink other = links.get(boxId);
        if (other != null && other.active() && keeps(other, link)) {
            link.close();
            return;
        }
        links.put(boxId, link);
        learn(link);
        knownBoxes = directory.size() + 1;
        if (other != null) {
            other.close();
        }
        LogEvent.info("peer-linked")
                .with("peer", boxId)
                .with("revision", host.revision())
                .to(LOG);
        sendHeartbeats(true);
    }

    /** Of two links between the same incarnations both sides keep the one that the lesser box opened. */
    private static boolean keeps(PeerLink older, PeerLink newer) {
        if (older.peer().getIncarnation() != newer.peer().getIncarnation()) {
            return older.peer().getIncarnation() > newer.peer().getIncarnation();
        }
        return older.initiator().compareTo(newer.initiator()) < 0;
    }

    private void learn(PeerLink link) {
        LinkPlan.Box box = new LinkPlan.Box(link.peer().getBoxId(), link.peer().getFailureDomain());
        directory.learned(box, Addresses.parse(link.peer().getPeerAddress()));
    }

    @Override
    public void closed(PeerLink link) {
        if (links.remove(link.peer().getBoxId(), link)) {
            LogEvent.info("peer-unlinked").with("peer", link.peer().getBoxId()).to(LOG);
        }
    }

    @Override
    public void frame(PeerLink link, PeerFrame frame) {
        if (frame.getHeartbeat() != null) {
            heartbeat(link, frame.getHeartbeat());
        } else if (frame.getConfigRequest() != null) {
            long after = frame.getConfigRequest().getAfterRevision();
            link.send(Frames.configReply(after, host.configAfter(after)));
        } else if (frame.getConfigReply() != null) {
            host.configReceived(frame.getCorrelation(), frame.getConfigReply());
        } else if (frame.getClaimRequest() != null) {
            host.commit(frame.getClaimRequest())
                    .thenAccept(reply -> link.send(Frames.claimReply(frame.getCorrelation(), reply)));
        } else if (frame.getClaimReply() != null) {
            forwarded.answered(frame.getCorrelation(), frame.getClaimReply());
        }
    }

    private void heartbeat(PeerLink link, Heartbeat heartbeat) {
        Map<String, PeerState> next = new HashMap<>(peers);
        PeerState before = peers.get(link.peer().getBoxId());
        List<WorkspaceDemand> known = before == null ? List.of() : before.demand();
        List<WorkspaceDemand> demand = heartbeat.getDemand() == null ? known : heartbeat.getDemand();
        next.put(
                link.peer().getBoxId(),
                new PeerState(
                        link.peer(),
                        clock.nowMs(),
                        heartbeat.getRevision(),
                        heartbeat.isStopping(),
                        heartbeat.isTableUnheard(),
                        demand));
        peers = Map.copyOf(next);
        boolean across = !link.peer().getFailureDomain().equals(self.failureDomain());
        domains.heard(heartbeat.getDomains(), across);
        if (heartbeat.getRevision() > host.revision() || host.starting()) {
            link.send(Frames.configRequest(host.starting() ? 0 : host.revision()));
        }
        if (host.heard(heartbeat)) {
            sendHeartbeats(false);
        }
    }
}
