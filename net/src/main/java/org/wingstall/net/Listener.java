package org.wingstall.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;

/**
 * A listening socket whose connections wait in the system's queue until this process is ready to take them.
 *
 * <p>{@code Listener listener = Listener.bind(group, address); ... listener.accept(initializer);}
 *
 * @since 0.4
 */
public final class Listener implements AutoCloseable {
    private static final int BACKLOG = 1024;

    /** Connections taken in one turn of the event loop: the gate can't decide on those that the system's queue holds. */
    private static final int ACCEPTS_PER_TURN = 256;

    private final Connections connections = new Connections();
    private final Channel channel;
    private volatile ConnectionGate gate = ConnectionGate.OPEN;

    /** Asks the gate about each connection before it gets an event loop. */
    private final class GateHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object accepted) {
            Channel connection = (Channel) accepted;
            if (gate.admit(connection)) {
                ctx.fireChannelRead(connection);
            } else {
                resetOnClose(connection);
                connection.unsafe().closeForcibly();
            }
        }
    }

    /** Sets up each connection with what the process decided on after it began to listen. */
    private static final class Connections extends ChannelInitializer<SocketChannel> {
        private volatile ChannelInitializer<SocketChannel> initializer;

        @Override
        protected void initChannel(SocketChannel connection) {
            connection.pipeline().addLast(initializer);
        }
    }

    private Listener(EventLoopGroup group, InetSocketAddress address) throws BindException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, acceptAll())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(new GateHandler())
                .childHandler(connections);
        EventLoops.noticeSilence(bootstrap::childOption);
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new BindException(address, bound.cause());
        }
        channel = bound.channel();
    }

    /** With epoll, Netty's default takes one connection in each turn: it compares a descriptor with a number of bytes. */
    private static RecvByteBufAllocator acceptAll() {
        return new ServerChannelRecvByteBufAllocator()
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(ACCEPTS_PER_TURN);
    }

    /**
     * Begins to listen.
     *
     * @param group event loops of the connections
     * @param address where to listen
     * @return the listener, which takes no connections yet
     * @throws BindException if the address can't be had
     */
    public static Listener bind(EventLoopGroup group, InetSocketAddress address) throws BindException {
        return new Listener(group, address);
    }

    /**
     * Takes the connections that wait and those that come.
     *
     * @param initializer sets up each connection
     * @param connectionGate decides which connections are read
     */
    public void accept(ChannelInitializer<SocketChannel> initializer, ConnectionGate connectionGate) {
        gate = connectionGate;
        connections.initializer = initializer;
        channel.config().setAutoRead(true);
    }

    /** Lets the caller see at once that nothing was read. */
    static void resetOnClose(Channel connection) {
        connection.config().setOption(ChannelOption.SO_LINGER, 0);
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Stops listening; connections that were taken stay. */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
    }
}
