package org.wingstall.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.net.EventLoops;

/**
 * Opens connections straight to their address.
 *
 * <p>{@code HttpClient client = new HttpClient(new DirectConnector(), AnswerLimits.DEFAULT);}
 *
 * @since 0.15
 */
public final class DirectConnector implements Connector {
    /** A bootstrap needs a handler; the client adds its own when the connection is open. */
    private static final ChannelHandler UNUSED = new Unused();

    @ChannelHandler.Sharable
    private static final class Unused extends ChannelInboundHandlerAdapter {}

    private final Map<EventLoop, Bootstrap> bootstraps = new ConcurrentHashMap<>();

    private static Bootstrap bootstrap(EventLoop loop) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(EventLoops.clientChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(UNUSED);
        EventLoops.noticeSilence(bootstrap::option);
        return bootstrap;
    }

    @Override
    public void connect(EventLoop loop, InetSocketAddress address, int timeoutMs, Listener listener) {
        Bootstrap bootstrap = bootstraps.get(loop);
        if (bootstrap == null) {
            bootstrap = bootstraps.computeIfAbsent(loop, DirectConnector::bootstrap);
        }
        // Options are read before connect returns, and only this loop uses its bootstrap.
        bootstrap
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .connect(address)
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        listener.connected(connected.channel());
                    } else {
                        listener.failed(connected.cause());
                    }
                });
    }
}
