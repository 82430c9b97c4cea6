package org.wingstall.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.Locale;
import java.util.Set;
import jdk.net.ExtendedSocketOptions;
import org.testng.annotations.Test;

/** Connections whose other side fell silent were never noticed on arm64, where the native transport was missing. */
public class EventLoopsTest {
    private static final Set<String> ARCHITECTURES = Set.of("amd64", "aarch64");

    @Test
    public void theNativeTransportIsThereOnLinux() {
        String system = System.getProperty("os.name").toLowerCase(Locale.ROOT);
        boolean expected = system.equals("linux") && ARCHITECTURES.contains(System.getProperty("os.arch"));
        assertEquals(EventLoops.transport(), expected ? "epoll" : "nio");
    }

    @Test
    public void connectionsAreProbedWithoutTheNativeTransportToo() {
        ChannelOption<Integer> idle = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);
        Channel channel = new NioSocketChannel();
        try {
            assertTrue(channel.config().setOption(idle, 1));
            assertEquals(channel.config().getOption(idle), Integer.valueOf(1));
        } finally {
            channel.unsafe().closeForcibly();
        }
    }
}
