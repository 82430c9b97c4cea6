package org.wingstall.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Makes event loops and names the channel classes that fit them: epoll where it is to be had, NIO elsewhere.
 *
 * <p>{@code EventLoopGroup group = EventLoops.group("requests", 2);}
 *
 * @since 0.1
 */
public final class EventLoops {
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

    /** Returns the class of listening channels. */
    public static Class<? extends ServerChannel> serverChannel() {
        return Epoll.isAvailable() ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /** Returns the class of connected channels. */
    public static Class<? extends SocketChannel> clientChannel() {
        return Epoll.isAvailable() ? EpollSocketChannel.class : NioSocketChannel.class;
    }
}
