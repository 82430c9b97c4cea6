package org.wingstall.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.net.EventLoops;

/**
 * An HTTP/1.1 client that keeps connections for each event loop; a call and its answer stay on one loop.
 *
 * <p>{@code HttpExchange exchange = client.send(loop, request, 300, listener); ... exchange.cancel();}
 *
 * @since 0.1
 */
public final class HttpClient {
    private static final int KEPT_PER_ADDRESS = 32;

    private final Map<EventLoop, Map<InetSocketAddress, ArrayDeque<Channel>>> kept = new ConcurrentHashMap<>();

    /**
     * Sends a request.
     *
     * @param loop event loop of the call; must be the calling thread's
     * @param request the request
     * @param connectTimeoutMs longest wait for a connection, in ms
     * @param listener told of the answer
     * @return the exchange, to cancel it by
     */
    public HttpExchange send(EventLoop loop, OutgoingRequest request, int connectTimeoutMs, ResponseListener listener) {
        HttpExchange exchange = new HttpExchange(request, listener, this);
        Channel channel = request.reuseIdleMs() == 0 ? null : takeKept(loop, request);
        if (channel != null) {
            exchange.start(channel);
        } else {
            connect(loop, request.address(), connectTimeoutMs, exchange);
        }
        return exchange;
    }

    /**
     * Sends a request and collects its answer.
     *
     * @param loop event loop of the call; any thread may call
     * @param request the request
     * @param timeoutMs longest wait for the whole answer, in ms
     * @return the answer, or a {@link TransportException}
     */
    public CompletableFuture<HttpReply> call(EventLoop loop, OutgoingRequest request, long timeoutMs) {
        ReplyCollector collector = new ReplyCollector(loop, timeoutMs);
        if (loop.inEventLoop()) {
            collector.begin(this, request);
        } else {
            loop.execute(() -> collector.begin(this, request));
        }
        return collector.reply();
    }

    private Channel takeKept(EventLoop loop, OutgoingRequest request) {
        ArrayDeque<Channel> channels = keptOf(loop, request.address());
        Channel channel = channels.pollLast();
        while (channel != null && !usable(channel, request.reuseIdleMs())) {
            channel.close();
            channel = channels.pollLast();
        }
        return channel;
    }

    private static boolean usable(Channel channel, long reuseIdleMs) {
        return channel.isActive()
                && channel.pipeline().get(ExchangeHandler.class).idleWithin(reuseIdleMs);
    }

    private ArrayDeque<Channel> keptOf(EventLoop loop, InetSocketAddress address) {
        return kept.computeIfAbsent(loop, key -> new HashMap<>()).computeIfAbsent(address, key -> new ArrayDeque<>());
    }

    private void connect(EventLoop loop, InetSocketAddress address, int connectTimeoutMs, HttpExchange exchange) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(EventLoops.clientChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec()).addLast(new ExchangeHandler());
                    }
                });
        EventLoops.noticeSilence(bootstrap::option);
        bootstrap.connect(address).addListener((io.netty.channel.ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                exchange.start(connected.channel());
            } else {
                exchange.connectFailed(connected.cause());
            }
        });
    }

    void keep(Channel channel, InetSocketAddress address) {
        ArrayDeque<Channel> channels = keptOf(channel.eventLoop(), address);
        if (channels.size() >= KEPT_PER_ADDRESS) {
            channels.pollFirst().close();
        }
        channels.addLast(channel);
    }

    void forget(Channel channel, InetSocketAddress address) {
        keptOf(channel.eventLoop(), address).remove(channel);
    }
}
