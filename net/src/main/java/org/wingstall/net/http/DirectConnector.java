package org.wingstall.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import org.wingstall.net.EventLoops;

/**
 * Opens connections straight to their address.
 *
 * <p>{@code HttpClient client = new HttpClient(new DirectConnector());}
 *
 * @since 0.15
 */
public final class DirectConnector implements Connector {
    @Override
    public void connect(EventLoop loop, InetSocketAddress address, int timeoutMs, Listener listener) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(EventLoops.clientChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInboundHandlerAdapter());
        EventLoops.noticeSilence(bootstrap::option);
        bootstrap.connect(address).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                listener.connected(connected.channel());
            } else {
                listener.failed(connected.cause());
            }
        });
    }
}
