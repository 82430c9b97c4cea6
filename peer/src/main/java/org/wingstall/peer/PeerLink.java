package org.wingstall.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import org.wingstall.peer.format.PeerFrameFormat;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.TunnelRequest;

/** One connection to a peer; says hello first and passes on what comes after the peer's hello. */
final class PeerLink extends SimpleChannelInboundHandler<PeerFrame> {
    private final LinkEvents events;
    private final Hello self;
    private final InetSocketAddress dialledAddress;
    private Channel channel;
    private Hello peer;
    private long openedAtMs;

    /** Told of what happens on a link. */
    interface LinkEvents {
        void opened(PeerLink link);

        void closed(PeerLink link);

        void frame(PeerLink link, PeerFrame frame);

        /** Another box wants the connection to lead on to an endpoint, instead of a link. */
        void tunnelRequested(PeerLink link, Channel channel, TunnelRequest request);
    }

    /** Creates a link; the dialled address is null when the peer opened it. */
    PeerLink(LinkEvents events, Hello self, InetSocketAddress dialledAddress) {
        this.events = events;
        this.self = self;
        this.dialledAddress = dialledAddress;
    }

    Hello peer() {
        return peer;
    }

    /** Returns the box that opened the connection. */
    String initiator() {
        return dialled() ? self.getBoxId() : peer.getBoxId();
    }

    /** Returns whether two links lead to the same life of a box. */
    boolean sameLife(PeerLink other) {
        return peer.getIncarnation() == other.peer.getIncarnation();
    }

    /** Records when the link was opened, by the clock of the mesh. */
    void openedAt(long nowMs) {
        openedAtMs = nowMs;
    }

    /**
     * Returns whether this link is kept when another one to the same box opens. Of two links that boxes open to each other
     * at the same time, both keep the one that the lesser box opened. Boxes dial only peers that they have no link to, so a
     * link that opens later shows that the peer has given up this one.
     *
     * @param newer the other link, just opened
     * @param sameTimeMs longest time between links that were opened at the same time, in ms
     */
    boolean preferredTo(PeerLink newer, long sameTimeMs) {
        return sameLife(newer)
                ? !givenUpFor(newer, sameTimeMs) && initiator().compareTo(newer.initiator()) < 0
                : peer.getIncarnation() > newer.peer.getIncarnation();
    }

    /** Returns whether a newer link to the same life of a box shows that the peer has given up this one. */
    boolean givenUpFor(PeerLink newer, long sameTimeMs) {
        return sameLife(newer) && newer.openedAtMs - openedAtMs > sameTimeMs;
    }

    boolean dialled() {
        return dialledAddress != null;
    }

    InetSocketAddress dialledAddress() {
        return dialledAddress;
    }

    boolean active() {
        return channel != null && channel.isActive();
    }

    void send(PeerFrame frame) {
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    /** Sends a frame that was encoded once for several links; the caller releases the buffer. */
    void send(ByteBuf encoded) {
        channel.writeAndFlush(encoded.retainedDuplicate(), channel.voidPromise());
    }

    /** Encodes a frame that is sent on several links. */
    static ByteBuf encode(PeerFrame frame) {
        return Unpooled.wrappedBuffer(PeerFrameFormat.INSTANCE.write(frame));
    }

    /** Sends a frame to a box; returns whether there is a link to it. */
    static boolean send(Map<String, PeerLink> links, String boxId, PeerFrame frame) {
        PeerLink link = links.get(boxId);
        boolean linked = link != null && link.active();
        if (linked) {
            link.send(frame);
        }
        return linked;
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        send(Frames.hello(self));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
        if (peer != null) {
            events.frame(this, frame);
            return;
        }
        if (frame.getTunnelRequest() != null && !dialled()) {
            events.tunnelRequested(this, ctx.channel(), frame.getTunnelRequest());
            return;
        }
        boolean stranger =
                frame.getHello() == null || frame.getHello().getBoxId().equals(self.getBoxId());
        if (stranger) {
            ctx.close();
            return;
        }
        peer = frame.getHello();
        events.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (peer != null) {
            events.closed(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
