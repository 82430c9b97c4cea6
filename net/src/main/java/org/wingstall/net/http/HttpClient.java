package org.wingstall.net.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

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
    private final Map<EventLoop, Map<InetSocketAddress, Set<HttpExchange>>> active = new ConcurrentHashMap<>();
    private final Connector connector;
    private final HeldBytes heldBytes;

    /** Creates a client that connects straight to each address. */
    public HttpClient() {
        this(new DirectConnector(), AnswerLimits.DEFAULT);
    }

    /**
     * Creates a client.
     *
     * @param connector opens its connections
     * @param limits bounds on the answers
     */
    public HttpClient(Connector connector, AnswerLimits limits) {
        this.connector = connector;
        this.heldBytes = new HeldBytes(limits);
    }

    HeldBytes heldBytes() {
        return heldBytes;
    }

    /**
     * Counts an answer that is whole as held until its reader has taken it. For use on any thread.
     *
     * @param bytes length of its body
     * @return to be run once when it was taken
     */
    public Runnable holdUntilTaken(long bytes) {
        heldBytes.holdWhole(bytes);
        return () -> heldBytes.release(bytes);
    }

    /** Returns the bytes of answers that are not whole or not taken yet; of any thread. */
    public long bytesHeld() {
        return heldBytes.bytes();
    }

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
        Channel channel = request.connection().maxIdleMs() == 0 ? null : takeKept(loop, request);
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
     * @return the answer, or a {@link TransportException}; cancelling it abandons the call and closes its connection
     */
    public CompletableFuture<HttpReply> call(EventLoop loop, OutgoingRequest request, long timeoutMs) {
        ReplyCollector collector = new ReplyCollector(loop, timeoutMs);
        if (loop.inEventLoop()) {
            collector.begin(this, request);
        } else {
            loop.execute(() -> collector.begin(this, request));
        }
        CompletableFuture<HttpReply> reply = collector.reply();
        reply.whenComplete((answer, failure) -> {
            if (reply.isCancelled()) {
                loop.execute(collector::abandon);
            }
        });
        return reply;
    }

    private Channel takeKept(EventLoop loop, OutgoingRequest request) {
        ArrayDeque<Channel> channels = keptOf(loop, request.address());
        Iterator<Channel> newestFirst = channels.descendingIterator();
        while (newestFirst.hasNext()) {
            Channel channel = newestFirst.next();
            ExchangeHandler handler = channel.pipeline().get(ExchangeHandler.class);
            if (!channel.isActive() || !handler.idleWithin(request.connection().maxIdleMs())) {
                newestFirst.remove();
                channel.close();
            } else if (handler.canCarry(request)) {
                newestFirst.remove();
                return channel;
            }
        }
        return null;
    }

    private ArrayDeque<Channel> keptOf(EventLoop loop, InetSocketAddress address) {
        return kept.computeIfAbsent(loop, key -> new HashMap<>()).computeIfAbsent(address, key -> new ArrayDeque<>());
    }

    private void connect(EventLoop loop, InetSocketAddress address, int connectTimeoutMs, HttpExchange exchange) {
        connector.connect(loop, address, connectTimeoutMs, new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                ExchangeHandler.addTo(channel.pipeline());
                exchange.start(channel);
            }

            @Override
            public void failed(Throwable cause) {
                exchange.connectFailed(cause);
            }
        });
    }

    /**
     * Closes the idle connections that lead straight to an address, and tells the listeners of the exchanges on the
     * others that their connection has most likely broken.
     *
     * @param loop event loop of the connections; must be the calling thread's
     * @param address where they lead
     */
    public void directPathLost(EventLoop loop, InetSocketAddress address) {
        List<Channel> idle = List.copyOf(keptOf(loop, address));
        idle.stream().filter(HttpClient::direct).forEach(Channel::close);
        Set<HttpExchange> running = active.getOrDefault(loop, Map.of()).getOrDefault(address, Set.of());
        List.copyOf(running).forEach(HttpExchange::directPathLost);
    }

    /**
     * Closes idle connections.
     *
     * @param loop event loop of the connections; must be the calling thread's
     * @param condition which ones
     */
    public void closeIdle(EventLoop loop, Predicate<Channel> condition) {
        kept.getOrDefault(loop, Map.of()).values().stream()
                .flatMap(ArrayDeque::stream)
                .filter(condition)
                .toList()
                .forEach(Channel::close);
    }

    private static boolean direct(Channel channel) {
        return Connector.viaBox(channel).isEmpty();
    }

    void started(HttpExchange exchange, EventLoop loop, InetSocketAddress address) {
        active.computeIfAbsent(loop, key -> new HashMap<>())
                .computeIfAbsent(address, key -> new HashSet<>())
                .add(exchange);
    }

    void ended(HttpExchange exchange, EventLoop loop, InetSocketAddress address) {
        Map<InetSocketAddress, Set<HttpExchange>> ofLoop = active.getOrDefault(loop, Map.of());
        Set<HttpExchange> running = ofLoop.getOrDefault(address, Set.of());
        if (running.remove(exchange) && running.isEmpty()) {
            ofLoop.remove(address);
        }
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
