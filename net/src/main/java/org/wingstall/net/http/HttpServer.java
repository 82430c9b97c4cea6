package org.wingstall.net.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;

/**
 * An HTTP/1.1 server whose clients are bounded in number, bytes and time.
 *
 * <p>{@code HttpServer server = HttpServer.start(group, address, limits, handler, rejection -> body);}
 *
 * @since 0.1
 */
public final class HttpServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int MAX_LINE_BYTES = 16384;
    private static final int MAX_HEADER_BYTES = 32768;
    private static final int MAX_CHUNK_BYTES = 8192;

    private final Channel listener;
    private final AtomicInteger connections;
    private final AtomicBoolean draining;
    private final ChannelGroup open;

    private HttpServer(Channel listener, AtomicInteger connections, AtomicBoolean draining, ChannelGroup open) {
        this.listener = listener;
        this.connections = connections;
        this.draining = draining;
        this.open = open;
    }

    /**
     * Starts a server.
     *
     * @param group event loops of the connections
     * @param address where to listen
     * @param limits bounds on clients
     * @param handler answers the calls
     * @param rejections makes the bodies of rejections
     * @return the running server
     * @throws BindException if the address can't be had
     */
    public static HttpServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            HttpHandler handler,
            Rejection.Body rejections)
            throws BindException {
        return start(group, address, () -> limits, handler, rejections);
    }

    /**
     * Starts a server whose limits may change; a connection keeps the size limits that it opened under.
     *
     * @param group event loops of the connections
     * @param address where to listen
     * @param limits gives the bounds on clients in force
     * @param handler answers the calls
     * @param rejections makes the bodies of rejections
     * @return the running server
     * @throws BindException if the address can't be had
     */
    public static HttpServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            HttpHandler handler,
            Rejection.Body rejections)
            throws BindException {
        AtomicInteger connections = new AtomicInteger();
        AtomicBoolean draining = new AtomicBoolean();
        ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        open.add(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(new RequestGuard(limits, rejections, connections))
                                .addLast(new BoundedAggregator(limits.get().maxBodyBytes(), rejections))
                                .addLast(new CallDispatcher(handler, rejections, draining));
                    }
                });
        EventLoops.noticeSilence(bootstrap::childOption);
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new BindException(address, bound.cause());
        }
        return new HttpServer(bound.channel(), connections, draining, open);
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.get();
    }

    /** Closes each connection after its next answer, which says so. */
    public void closeAfterAnswers() {
        draining.set(true);
    }

    /** Closes idle connections now and the others after their next answer. */
    public void drain() {
        draining.set(true);
        open.forEach(channel -> channel.eventLoop().execute(() -> closeIfIdle(channel)));
    }

    private static void closeIfIdle(Channel channel) {
        CallDispatcher dispatcher = channel.pipeline().get(CallDispatcher.class);
        if (dispatcher != null && dispatcher.idle()) {
            channel.close();
        }
    }

    /** Stops taking connections; open ones stay. */
    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
    }
}
