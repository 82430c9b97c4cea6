package org.wingstall.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.core.peer.LinkStrategy;
import org.wingstall.net.EventLoops;

/** Opens and closes a gateway's links as the link plan and the seeds ask for; runs on the control loop. */
final class Dialer {
    private static final int CONNECT_TIMEOUT_MS = 500;

    /** Ticks of the heartbeat from one retry of unreachable boxes to the next, on average. */
    private static final int RETRY_TICKS = 4;

    private final PeerOptions options;
    private final LinkPlan.Box self;
    private final EventLoop loop;
    private final Directory directory;
    private final Map<String, PeerLink> links;
    private final Function<InetSocketAddress, ChannelInitializer<SocketChannel>> initializer;
    private final Set<InetSocketAddress> dialling = new HashSet<>();
    private volatile Set<String> carriers = Set.of();
    private Set<String> planned = Set.of();
    private List<LinkPlan.Box> unreachable = List.of();
    private long plannedAtChange = -1;

    Dialer(
            PeerOptions options,
            LinkPlan.Box self,
            EventLoop loop,
            Directory directory,
            Map<String, PeerLink> links,
            Function<InetSocketAddress, ChannelInitializer<SocketChannel>> initializer) {
        this.options = options;
        this.self = self;
        this.loop = loop;
        this.directory = directory;
        this.links = links;
        this.initializer = initializer;
    }

    /** Dials every planned peer and every seed that has no link, and closes links that are not planned any more. */
    void dialMissing() {
        if (plannedAtChange != directory.changes()) {
            plan();
        }
        for (String boxId : planned) {
            if (!links.containsKey(boxId)) {
                dial(directory.entry(boxId).address());
            }
        }
        for (InetSocketAddress seed : options.seeds()) {
            boolean needed = !directory.knows(seed) && !links.containsKey(directory.boxBehind(seed));
            if (needed) {
                dial(seed);
            }
        }
        closeUnplanned();
        retryUnreachable();
    }

    /** Plans the links anew, which looks at all boxes of the fleet; they seldom change, and looks come with each heartbeat. */
    private void plan() {
        plannedAtChange = directory.changes();
        LinkStrategy.Plan plan = options.links().plan(self, directory.reachable(), directory.all());
        planned = plan.links();
        carriers = plan.hubs();
        unreachable = directory.unreachable();
    }

    /** Returns whether all planned links are open, to whatever boxes are known and don't count as gone. */
    boolean complete() {
        return directory.listed()
                && plannedAtChange == directory.changes()
                && planned.stream().map(links::get).allMatch(link -> link != null && link.active());
    }

    /** Returns the boxes that do work for others, as of the last look; read on any thread. */
    Set<String> carriers() {
        return carriers;
    }

    /**
     * Tries boxes that count as gone now and then, so that a healed cut is noticed: one of each failure domain, since all of
     * it counts as reachable again when one answers. Dialling each of them would cost a fleet as many dials as the product
     * of the boxes on both sides of a cut.
     */
    private void retryUnreachable() {
        boolean soon = !unreachable.isEmpty() && ThreadLocalRandom.current().nextInt(RETRY_TICKS) == 0;
        if (!soon) {
            return;
        }
        List<LinkPlan.Box> shuffled = new ArrayList<>(unreachable);
        Collections.shuffle(shuffled, ThreadLocalRandom.current());
        Set<String> triedDomains = new HashSet<>();
        for (LinkPlan.Box box : shuffled) {
            boolean candidate = !links.containsKey(box.boxId()) && !planned.contains(box.boxId());
            if (candidate && triedDomains.add(box.failureDomain())) {
                dial(directory.entry(box.boxId()).address());
            }
        }
    }

    private void closeUnplanned() {
        for (PeerLink link : List.copyOf(links.values())) {
            boolean known = directory.entry(link.peer().getBoxId()) != null;
            if (known && link.dialled() && !planned.contains(link.peer().getBoxId())) {
                link.close();
            }
        }
    }

    /** Dials from the box's own IP address, so that the network can tell boxes apart. */
    private void dial(InetSocketAddress address) {
        if (!dialling.add(address)) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(EventLoops.clientChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer.apply(address))
                .localAddress(new InetSocketAddress(options.listenAddress().getAddress(), 0));
        EventLoops.noticeSilence(bootstrap::option);
        bootstrap.connect(address).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                directory.dialSucceeded(address);
                connected.channel().closeFuture().addListener(closed -> dialling.remove(address));
            } else {
                dialling.remove(address);
                directory.dialFailed(address);
            }
        });
    }

    /** Ends the attempt to reach an address; until then a box that is slow to say hello is not dialled again. */
    void answered(InetSocketAddress address) {
        dialling.remove(address);
    }
}
