package org.wingstall.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.core.time.Jitter;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.BindException;
import org.wingstall.net.PeriodicTask;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.DomainSummary;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.LimitNews;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.RejectionNews;
import org.wingstall.schema.peer.TunnelRequest;
import org.wingstall.schema.platform.Member;

/**
 * The links of a gateway to its peers: all in its failure domain, a few across. Runs on one event loop, the control loop.
 *
 * <p>{@code mesh.start(); ... mesh.beatNow();}
 *
 * @since 0.1
 */
public final class PeerMesh implements PeerLink.LinkEvents {
    private static final Logger LOG = LogManager.getLogger(PeerMesh.class);

    private final PeerOptions options;
    private final PeerHost host;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final LinkPlan.Box self;
    private final ByteCounter bytes = new ByteCounter();
    private final Directory directory = new Directory();
    private final Map<String, PeerLink> links = new HashMap<>();
    private final PromptReplies replies;
    private final PieceLinks pieces;
    private final MeshEngineLinks engines;
    private final NewsLinks<CrashNews> crashes;
    private final NewsLinks<LimitNews> limits;
    private final NewsLinks<RejectionNews> rejections;
    private final MeshStreamOriginLinks streamOrigins;
    private final Tunnels tunnels;
    private final Dialer dialer;
    private final SilentLinks silence;
    private final LinkChannels channels;
    private final RowLinks rows;
    private final ConfigDocumentLinks configDocuments;
    private final DomainTable domains;
    private final PeerTable peers;
    private final Heartbeats heartbeats;
    private volatile int knownBoxes = 1;
    private Channel listener;

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
        this.self = boxOf(options.hello());
        this.replies = new PromptReplies(clock);
        this.pieces = new PieceLinks(links, replies);
        this.engines = new MeshEngineLinks(links, replies);
        this.crashes = new NewsLinks<>(links, Frames::crashNews, PeerFrame::getCrashNews, this::carries);
        this.limits = new NewsLinks<>(links, Frames::limitNews, PeerFrame::getLimitNews, this::carries);
        this.rejections = new NewsLinks<>(links, Frames::rejectionNews, PeerFrame::getRejectionNews, this::carries);
        this.rows = new RowLinks(loop, links);
        this.configDocuments = new ConfigDocumentLinks(loop, links);
        this.tunnels = new Tunnels(loop, options.listenAddress(), links, bytes);
        this.silence = new SilentLinks(options.silentAfterMs(), this::beatsSeldom, this::longestIntervalMs, clock);
        this.channels = new LinkChannels(options, this, bytes, silence);
        this.dialer = new Dialer(options, self, loop, directory, links, channels::initializer);
        this.streamOrigins = new MeshStreamOriginLinks(links, dialer::complete);
        this.peers =
                new PeerTable(self, options.silentAfterMs(), this::beatsSeldom, rows::tableUnheard, replies, clock);
        this.domains = new DomainTable(self.failureDomain(), options.silentAfterMs(), clock);
        this.heartbeats = new Heartbeats(options, host, links, domains, peers);
    }

    /**
     * Takes links and starts to dial.
     *
     * @throws BindException if the address can't be had
     */
    public void start() throws BindException {
        listener = channels.listen(loop);
        PeriodicTask.start(loop, "heartbeat", this::delayMs, this::tick);
    }

    /** Returns what gateways say to each other about pieces of stages. */
    public PieceLinks pieces() {
        return pieces;
    }

    /** Returns what gateways say to each other about engines. */
    public EngineLinks engines() {
        return engines;
    }

    /** Returns what gateways say to each other about requests that crash endpoints. */
    public NewsLinks<CrashNews> crashes() {
        return crashes;
    }

    /** Returns what gateways say to each other about the requests that endpoints take. */
    public NewsLinks<LimitNews> limits() {
        return limits;
    }

    /** Returns what gateways say to each other about rejections by brittle endpoints. */
    public NewsLinks<RejectionNews> rejections() {
        return rejections;
    }

    /** Returns what gateways say to each other about the origins of streams. */
    public StreamOriginLinks streamOrigins() {
        return streamOrigins;
    }

    /** Attaches what is done with what peers say about the origins of streams; before the mesh starts. */
    public void attach(StreamOriginHost host) {
        streamOrigins.attach(host);
    }

    /** Attaches what is done with what peers say about engines; before the mesh starts. */
    public void attach(EngineHost host) {
        engines.attach(host);
    }

    /** Returns the connections to endpoints by way of other boxes. */
    public Tunnels tunnels() {
        return tunnels;
    }

    /** Returns what gateways say to each other about rows of the platform's table. */
    public RowLinks rows() {
        return rows;
    }

    /** Returns how gateways pass documents of the configuration on. */
    public ConfigDocumentLinks configDocuments() {
        return configDocuments;
    }

    /** Takes in a membership list. */
    public void applyList(List<Member> members) {
        loop.execute(() -> {
            directory.applyList(members, self.boxId());
            relearn();
        });
    }

    /**
     * Takes in the boxes of the fleet.
     *
     * @param addresses where each box takes links
     */
    public void applyBoxes(Map<LinkPlan.Box, InetSocketAddress> addresses) {
        List<Directory.Entry> entries = addresses.entrySet().stream()
                .map(box -> new Directory.Entry(box.getKey(), box.getValue()))
                .toList();
        loop.execute(() -> {
            directory.applyBoxes(entries, self.boxId());
            relearn();
        });
    }

    /** Boxes that there is a link to are known, whether a list has them or not. */
    private void relearn() {
        links.values().forEach(this::learn);
        knownBoxes = directory.size() + 1;
    }

    /** Returns whether a box does work for others, as all boxes that know the same ones see it. */
    public boolean carries(String boxId) {
        return dialer.carriers().contains(boxId);
    }

    private boolean beatsSeldom(String boxId) {
        Set<String> carriers = dialer.carriers();
        return !carriers.isEmpty() && !carriers.contains(boxId);
    }

    /** Returns what is known of the peers. */
    public PeerTable peers() {
        return peers;
    }

    /** Returns the summaries of other failure domains. */
    public List<DomainSummary> domains() {
        return domains.fresh();
    }

    /** Returns the boxes that are known, this one included; on the mesh's event loop. */
    public List<LinkPlan.Box> boxes() {
        List<LinkPlan.Box> boxes = new ArrayList<>(directory.all());
        boxes.add(self);
        return boxes;
    }

    /** Returns the entry boxes in the fleet, this one included. */
    public int knownBoxes() {
        return knownBoxes;
    }

    /** Returns the time between two tellings of demand, in ms. */
    public long fullHeartbeatMs() {
        return heartbeats.fullIntervalMs();
    }

    /** Returns the links that were closed since nothing had come on them for long; can be read on any thread. */
    public long silentLinks() {
        return silence.closed();
    }

    /** Returns bytes sent over all links, without headers of IP and TCP. */
    public long sentBytes() {
        return bytes.sentBytes();
    }

    /** Returns bytes received over all links, without headers of IP and TCP. */
    public long receivedBytes() {
        return bytes.receivedBytes();
    }

    /** Passes a change of the membership list on to every peer of this failure domain. */
    public void tellDomain(MemberNews news) {
        loop.execute(() -> tell(news, this::isLocal));
    }

    /** Passes a change of the membership list on to every linked peer. */
    public void tellAll(MemberNews news) {
        loop.execute(() -> tell(news, link -> true));
    }

    private void tell(MemberNews news, Predicate<PeerLink> receiver) {
        ByteBuf encoded = PeerLink.encode(Frames.memberNews(news));
        links.values().stream().filter(receiver).forEach(link -> link.send(encoded));
        encoded.release();
    }

    /** Sends a heartbeat to every peer now, because something changed that can't wait. */
    public void beatNow() {
        loop.execute(() -> heartbeats.send(false));
    }

    /** Stops taking links. */
    public void close() {
        listener.close();
        loop.execute(() -> List.copyOf(links.values()).forEach(PeerLink::close));
    }

    private void tick() {
        silence.check(heartbeats.intervalMs()).forEach(this::giveUp);
        dialer.dialMissing();
        heartbeats.turn(!beatsSeldom(self.boxId()));
    }

    private void giveUp(PeerLink link) {
        if (link.peer() != null) {
            closed(link);
        }
        link.close();
    }

    private long longestIntervalMs() {
        return heartbeats.longestIntervalMs(knownBoxes);
    }

    private long delayMs() {
        return Jitter.around(
                heartbeats.intervalMs(), ThreadLocalRandom.current().nextDouble());
    }

    private boolean isLocal(PeerLink link) {
        return link.peer().getFailureDomain().equals(self.failureDomain());
    }

    @Override
    public void opened(PeerLink link) {
        String boxId = link.peer().getBoxId();
        link.openedAt(clock.nowMs());
        if (link.dialled()) {
            dialer.answered(link.dialledAddress());
            directory.answered(link.dialledAddress(), boxId);
        }
        PeerLink other = links.get(boxId);
        if (other != null && other.active() && other.preferredTo(link, options.silentAfterMs())) {
            link.close();
            return;
        }
        links.put(boxId, link);
        if (other != null && (!other.sameLife(link) || other.givenUpFor(link, options.silentAfterMs()))) {
            linkLost(boxId);
        }
        learn(link);
        knownBoxes = directory.size() + 1;
        if (other != null) {
            other.close();
        }
        LogEvent.info("peer-linked")
                .with("peer", boxId)
                .with("revision", host.revision())
                .to(LOG);
        heartbeats.sendFirst(link);
        crashes.linked(link);
        limits.linked(link);
        streamOrigins.linked(boxId);
    }

    private static LinkPlan.Box boxOf(Hello hello) {
        return new LinkPlan.Box(hello.getBoxId(), hello.getFailureDomain(), hello.getCapacity());
    }

    private void learn(PeerLink link) {
        directory.learned(boxOf(link.peer()), Addresses.parse(link.peer().getPeerAddress()));
    }

    @Override
    public void closed(PeerLink link) {
        if (links.remove(link.peer().getBoxId(), link)) {
            LogEvent.info("peer-unlinked").with("peer", link.peer().getBoxId()).to(LOG);
            linkLost(link.peer().getBoxId());
        }
    }

    /** Nothing that was asked over a link is answered after its end. */
    private void linkLost(String boxId) {
        replies.forget(boxId);
        pieces.unlinked(boxId);
    }

    @Override
    public void frame(PeerLink link, PeerFrame frame) {
        PeerLink current = links.get(link.peer().getBoxId());
        if (current != null && !current.sameLife(link)) {
            // Another life of the box has a link of its own, so what comes on this one is out of date.
            return;
        }
        replies.heard(link.peer().getBoxId());
        if (frame.getHeartbeat() != null) {
            heartbeat(link, frame.getHeartbeat());
        } else if (frame.getMemberNews() != null) {
            host.membersChanged(frame.getMemberNews());
        } else if (!rows.frame(link, frame)
                && !configDocuments.frame(link, frame)
                && !engines.frame(link.peer().getBoxId(), frame)
                && !streamOrigins.frame(link.peer().getBoxId(), frame)
                && !crashes.frame(link.peer().getBoxId(), frame)
                && !limits.frame(link.peer().getBoxId(), frame)
                && !rejections.frame(link.peer().getBoxId(), frame)) {
            pieces.frame(link.peer().getBoxId(), frame);
        }
    }

    @Override
    public void tunnelRequested(PeerLink link, Channel channel, TunnelRequest request) {
        silence.unwatch(link);
        tunnels.accept(channel, request);
    }

    private void heartbeat(PeerLink link, Heartbeat heartbeat) {
        silence.heartbeat(link);
        peers.heard(link.peer(), heartbeat);
        domains.heard(heartbeat.getDomains(), !isLocal(link));
        rows.heardRevision(link, heartbeat.getRevision());
        if (host.heard(heartbeat)) {
            heartbeats.send(false);
        }
    }
}
