package org.wingstall.standin.proxy;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;

/** One listening address, its target and its faults. */
final class Route {
    private final InetSocketAddress target;
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile Faults faults = Faults.NONE;

    Route(InetSocketAddress target) {
        this.target = target;
    }

    InetSocketAddress target() {
        return target;
    }

    Faults faults() {
        return faults;
    }

    void set(Faults next) {
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
