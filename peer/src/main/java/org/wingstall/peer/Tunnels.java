package org.wingstall.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.EventLoops;
import org.wingstall.net.frame.FrameCodec;
import org.wingstall.net.http.Connector;
import org.wingstall.peer.format.PeerFrameFormat;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.TunnelReply;
import org.wingstall.schema.peer.TunnelRequest;

/**
 * Connections to endpoints by way of another box, for a box whose own links to them are cut. Confined to the mesh's
 * event loop.
 *
 * <p>A tunnel is a connection of its own to the mesh's address of the other box, so that a slow reader holds up no
 * other traffic. Its first frame names the endpoint; the other box connects straight to it or refuses, so that there is
 * never more than one box on the way.
 *
 * <p>{@code mesh.tunnels().open("kgn-a-1", new TunnelRequest("llm-3", 7), 150, listener);}
 *
 * @since 0.15
 */
public final class Tunnels {
    /** Tunnels that a box carries for others at once; each takes two descriptors. */
    private static final int MAX_CARRIED = 400;

    /** Longest wait for the connection to an endpoint, in ms; a round trip takes about 1 ms. */
    private static final int CONNECT_TIMEOUT_MS = 150;

    private final EventLoop loop;
    private final InetSocketAddress self;
    private final Map<String, PeerLink> links;
    private final ByteCounter bytes;
    private TunnelHost host = (endpointId, incarnation) -> Optional.empty();
    private volatile int carried;

    Tunnels(EventLoop loop, InetSocketAddress self, Map<String, PeerLink> links, ByteCounter bytes) {
        this.loop = loop;
        this.self = self;
        this.links = links;
        this.bytes = bytes;
    }

    /** Attaches the host; before the mesh starts. */
    public void attach(TunnelHost tunnelHost) {
        host = tunnelHost;
    }

    /** Returns the tunnels that this box carries for others; can be read on any thread. */
    public int carried() {
        return carried;
    }

    /**
     * Opens a tunnel.
     *
     * @param boxId the box to go by
     * @param request the endpoint
     * @param timeoutMs longest wait, in ms
     * @param listener receives the result
     */
    public void open(String boxId, TunnelRequest request, int timeoutMs, Connector.Listener listener) {
        PeerLink link = links.get(boxId);
        if (link == null || !link.active()) {
            listener.failed(new TunnelException("there is no link to '" + boxId + "'"));
            return;
        }
        TunnelHandshake handshake = new TunnelHandshake(boxId, request, timeoutMs, listener);
        new Bootstrap()
                .group(loop)
                .channel(EventLoops.clientChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        EventLoops.noticeSilence(channel.config()::setOption);
                        channel.pipeline().addLast(bytes);
                        FrameCodec.addTo(channel.pipeline(), PeerFrame.class, PeerFrameFormat.INSTANCE);
                        channel.pipeline().addLast(handshake);
                    }
                })
                .localAddress(new InetSocketAddress(self.getAddress(), 0))
                .connect(Addresses.parse(link.peer().getPeerAddress()))
                .addListener((ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        handshake.failed(connected.cause());
                    }
                });
    }

    /** Connects the other side of a new connection with the endpoint that it named. */
    void accept(Channel fromBox, TunnelRequest request) {
        Optional<InetSocketAddress> target = host.target(request.getEndpoint(), request.getIncarnation());
        if (target.isEmpty() || carried >= MAX_CARRIED) {
            refuse(fromBox, target.isEmpty() ? "the endpoint is not reached" : "too many tunnels");
            return;
        }
        EventLoops.noticeSilence(fromBox.config()::setOption);
        fromBox.config().setAutoRead(false);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(EventLoops.clientChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new TunnelSplice(fromBox, true));
        EventLoops.noticeSilence(bootstrap::option);
        bootstrap.connect(target.get()).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                splice(fromBox, connected.channel());
            } else {
                refuse(fromBox, String.valueOf(connected.cause().getMessage()));
            }
        });
    }

    private static void refuse(Channel fromBox, String why) {
        fromBox.writeAndFlush(Frames.tunnelReply(new TunnelReply(false, why))).addListener(written -> fromBox.close());
    }

    private void splice(Channel fromBox, Channel toEndpoint) {
        if (!fromBox.isActive()) {
            toEndpoint.close();
            return;
        }
        carried++;
        fromBox.closeFuture().addListener(closed -> carried--);
        fromBox.writeAndFlush(Frames.tunnelReply(new TunnelReply(true, null)));
        fromBox.pipeline().remove(FrameCodec.class);
        fromBox.pipeline().replace(PeerLink.class, "tunnel", new TunnelSplice(toEndpoint, false));
        fromBox.config().setAutoRead(true);
    }
}
