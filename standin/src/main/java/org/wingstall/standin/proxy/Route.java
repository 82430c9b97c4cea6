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
import java.io.IOException;
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

    private final EventLoopGroup group;
    private volatile Channel listener;
    private UnansweredPort unanswered;
    private InetSocketAddress address;

    private Route(EventLoopGroup group, InetSocketAddress target) {
        this.group = group;
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
        Route route = new Route(group, target);
        route.listen(listen);
        return route;
    }

    private void listen(InetSocketAddress listen) throws BindException {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new Relay(Route.this));
                    }
                })
                .bind(listen)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new BindException(listen, bound.cause());
        }
        listener = bound.channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    /** Refuses new connections from now on; open ones stay. */
    public void refuseConnections() {
        listener.close().awaitUninterruptibly();
    }

    /**
     * Lets new connections hang from now on; open ones stay.
     *
     * @throws IOException if the port can't be had
     */
    public void leaveConnectionsUnanswered() throws IOException {
        refuseConnections();
        unanswered = UnansweredPort.open(address);
    }

    /**
     * Takes new connections again.
     *
     * @throws IOException if the port can't be had
     */
    public void acceptConnections() throws IOException {
        if (unanswered != null) {
            unanswered.close();
            unanswered = null;
        }
        if (!listener.isOpen()) {
            try {
                listen(address);
            } catch (BindException e) {
                throw new IOException(e);
            }
        }
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
        if (next.silentOpen()) {
            open.forEach(channel -> channel.pipeline().get(Relay.class).silence());
        }
        open.close(channel -> next.cuts(clientIp(channel)));
    }

    static String clientIp(Channel channel) {
        return ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
    }

    void opened(Channel channel) {
        open.add(channel);
    }
}
