package org.wingstall.net;

import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import jdk.net.ExtendedSocketOptions;

/**
 * Makes event loops and names the channel classes that fit them: epoll where it is to be had, NIO elsewhere.
 *
 * <p>{@code EventLoopGroup group = EventLoops.group("requests", 2);}
 *
 * @since 0.1
 */
public final class EventLoops {
    /** Time without acknowledgement after which a connection counts as broken, in ms; several retransmissions long. */
    public static final int SILENT_MS = 2000;

    private static final int PROBE_AFTER_S = 1;
    private static final int PROBE_EVERY_S = 1;
    private static final int PROBES = 2;

    private EventLoops() {}

    /**
     * Makes a group of event loops.
     *
     * @param name first part of the threads' names
     * @param threads number of event loops
     * @return the group
     */
    public static EventLoopGroup group(String name, int threads) {
        DefaultThreadFactory factory = new DefaultThreadFactory(name, true);
        return new MultiThreadIoEventLoopGroup(
                threads, factory, Epoll.isAvailable() ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }

    /**
     * Sets the options by which a connection whose other side has fallen silent is noticed: unacknowledged data, or
     * unanswered keep-alive probes while idle, end it after about {@link #SILENT_MS}.
     *
     * @param options takes the options
     */
    public static void noticeSilence(SocketOptions options) {
        options.set(ChannelOption.SO_KEEPALIVE, true);
        if (Epoll.isAvailable()) {
            options.set(EpollChannelOption.TCP_USER_TIMEOUT, SILENT_MS);
            options.set(EpollChannelOption.TCP_KEEPIDLE, PROBE_AFTER_S);
            options.set(EpollChannelOption.TCP_KEEPINTVL, PROBE_EVERY_S);
            options.set(EpollChannelOption.TCP_KEEPCNT, PROBES);
        } else {
            // NIO knows no limit for unacknowledged data; only connections without any are probed.
            options.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_AFTER_S);
            options.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_EVERY_S);
            options.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
        }
    }

    /** Returns the name of the transport in use, for the log: epoll, or nio where its native library is missing. */
    public static String transport() {
        return Epoll.isAvailable() ? "epoll" : "nio";
    }

    /** Takes the options of a connection. */
    @FunctionalInterface
    public interface SocketOptions {
        /** Sets one option. */
        <T> void set(ChannelOption<T> option, T value);
    }

    /** Returns the class of listening channels. */
    public static Class<? extends ServerChannel> serverChannel() {
        return Epoll.isAvailable() ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /** Returns the class of connected channels. */
    public static Class<? extends SocketChannel> clientChannel() {
        return Epoll.isAvailable() ? EpollSocketChannel.class : NioSocketChannel.class;
    }
}
