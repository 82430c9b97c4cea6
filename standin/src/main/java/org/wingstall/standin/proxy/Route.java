package org.wingstall.standin.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;

/**
 * One listening address, its target and its faults.
 *
 * <p>{@code Route route = Route.open(group, any, target); route.set(Faults.NONE.withCut());}
 *
 * @since 0.1
 */
public final class Route {
    private volatile InetSocketAddress target;
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile Faults faults = Faults.NONE;

    private InetSocketAddress address;

    private Route(InetSocketAddress target) {
        this.target = target;
    }

    /**
     * Opens a route.
     *
     * @param group event loops of its connections
     * @param listen where it takes connections; port 0 for a free one
     * @param target where it passes them on to
     * @throws BindException if the address can't be had
     */
    public static Route open(EventLoopGroup group, InetSocketAddress listen, InetSocketAddress target)
            throws BindException {
        Route route = new Route(target);
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new Relay(route));
                    }
                })
                .bind(listen)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new BindException(listen, bound.cause());
        }
        route.address = (InetSocketAddress) bound.channel().localAddress();
        return route;
    }

    /** Returns where the route takes connections. */
    public InetSocketAddress address() {
        return address;
    }

    /** Passes connections that come from now on to another target, and ends the open ones. */
    public void retarget(InetSocketAddress next) {
        target = next;
        open.close();
    }

    InetSocketAddress target() {
        return target;
    }

    Faults faults() {
        return faults;
    }

    /** Sets the faults from now on; what they cut is closed. */
    public void set(Faults next) {
        faults = next;
        open.close(channel -> next.cuts(clientIp(channel)));
    }

    static String clientIp(Channel channel) {
        return ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
    }

    void opened(Channel channel) {
        open.add(channel);
    }
}
