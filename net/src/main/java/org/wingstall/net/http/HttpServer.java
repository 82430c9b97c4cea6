package org.wingstall.net.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
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
import org.wingstall.net.ConnectionGate;
import org.wingstall.net.Listener;

/**
 * An HTTP/1.1 server whose clients are bounded in number, bytes and time.
 *
 * <p>{@code HttpServer server = HttpServer.start(group, address, limits, handler, rejection -> body);}
 *
 * @since 0.1
 */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_LINE_BYTES = 16384;
    private static final int MAX_HEADER_BYTES = 32768;
    private static final int MAX_CHUNK_BYTES = 8192;

    private final Listener listener;
    private final Supplier<HttpLimits> limits;
    private final HttpHandler handler;
    private final Rejection.Body rejections;
    private final ConnectionGate gate;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final HttpCall.ConnectionEnd connectionEnd = new HttpCall.ConnectionEnd() {
        @Override
        public boolean wanted() {
            return gate.overloaded();
        }

        @Override
        public boolean required() {
            return draining.get();
        }
    };
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /**
     * Prepares a server on a socket that listens already; connections wait until it accepts them.
     *
     * @param listener the socket
     * @param limits gives the bounds on clients in force
     * @param handler answers the calls
     * @param rejections makes the bodies of rejections
     * @param gate decides which connections are read; while it is overloaded, each connection ends with its next answer
     */
    public HttpServer(
            Listener listener,
            Supplier<HttpLimits> limits,
            HttpHandler handler,
            Rejection.Body rejections,
            ConnectionGate gate) {
        this.listener = listener;
        this.limits = limits;
        this.handler = handler;
        this.rejections = rejections;
        this.gate = gate;
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
        Listener listener = Listener.bind(group, address);
        HttpServer server = new HttpServer(listener, limits, handler, rejections, ConnectionGate.OPEN);
        server.accept();
        return server;
    }

    /** Takes the connections that wait and those that come. */
    public void accept() {
        listener.accept(
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        setUp(channel);
                    }
                },
                gate);
    }

    private void setUp(SocketChannel channel) {
        open.add(channel);
        channel.pipeline()
                .addLast(new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                .addLast(new RequestGuard(limits, rejections, connections))
                .addLast(new BoundedAggregator(limits.get().maxBodyBytes(), rejections))
                .addLast(new CallDispatcher(handler, rejections, connectionEnd));
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.get();
    }

    /** Closes each connection after its next answer, which says so. */
    public void closeAfterAnswers() {
        draining.set(true);
    }

    /** Closes idle connections now, and the others when the answers that are due on them were written. */
    public void drain() {
        draining.set(true);
        open.forEach(channel -> channel.eventLoop().execute(() -> closeWhenIdle(channel)));
    }

    private static void closeWhenIdle(Channel channel) {
        ChannelHandlerContext dispatcher = channel.pipeline().context(CallDispatcher.class);
        if (dispatcher != null) {
            ((CallDispatcher) dispatcher.handler()).closeWhenIdle(dispatcher);
        }
    }

    /** Stops at once, as a process that ends: open connections close without the rest of their answers. */
    public void abort() {
        listener.close();
        open.close();
    }

    /** Stops taking connections; open ones stay. */
    @Override
    public void close() {
        listener.close();
    }
}
