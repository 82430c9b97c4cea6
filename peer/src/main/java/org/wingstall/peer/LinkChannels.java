package org.wingstall.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.net.InetSocketAddress;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;
import org.wingstall.net.frame.FrameCodec;
import org.wingstall.peer.format.PeerFrameFormat;
import org.wingstall.schema.peer.PeerFrame;

/**
 * Sets up the connections of links, those that peers open and those that are dialled.
 *
 * <p>{@code Channel listener = channels.listen(loop);}
 */
final class LinkChannels {
    /** Frames that may leave in one write; more than most calls have results. */
    private static final int FRAMES_A_WRITE = 64;

    private final PeerOptions options;
    private final PeerLink.LinkEvents events;
    private final ByteCounter bytes;
    private final SilentLinks silence;

    LinkChannels(PeerOptions options, PeerLink.LinkEvents events, ByteCounter bytes, SilentLinks silence) {
        this.options = options;
        this.events = events;
        this.bytes = bytes;
        this.silence = silence;
    }

    /**
     * Takes links of peers.
     *
     * @throws BindException if the address can't be had
     */
    Channel listen(EventLoop loop) throws BindException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(null));
        EventLoops.noticeSilence(bootstrap::childOption);
        ChannelFuture bound = bootstrap.bind(options.listenAddress()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new BindException(options.listenAddress(), bound.cause());
        }
        return bound.channel();
    }

    /** Returns the initializer of links to an address; of those that peers open if that is null. */
    ChannelInitializer<SocketChannel> initializer(InetSocketAddress dialledAddress) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                PeerLink link = new PeerLink(events, options.hello(), dialledAddress);
                // The frames that one event gives rise to, such as the results of a call, leave in one write.
                channel.pipeline().addLast(new FlushConsolidationHandler(FRAMES_A_WRITE, true));
                channel.pipeline().addLast(bytes);
                channel.pipeline().addLast(silence.watch(link));
                FrameCodec.addTo(channel.pipeline(), PeerFrame.class, PeerFrameFormat.INSTANCE);
                channel.pipeline().addLast(link);
            }
        };
    }
}
