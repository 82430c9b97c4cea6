package org.wingstall.standin;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.BindException;
import org.wingstall.net.http.HttpHandler;
import org.wingstall.net.http.HttpLimits;
import org.wingstall.net.http.HttpServer;

/**
 * Starts the HTTP servers of stand-ins.
 *
 * <p>{@code StandinServer.start(group, "127.0.0.1:9000", handler);}
 *
 * @since 0.1
 */
public final class StandinServer {
    private static final HttpLimits LIMITS = new HttpLimits(64 << 20, 100_000, 60_000, 3_600_000);

    private StandinServer() {}

    /** Starts a server with wide limits. */
    public static HttpServer start(EventLoopGroup group, String address, HttpHandler handler) throws BindException {
        return HttpServer.start(group, Addresses.parse(address), LIMITS, handler, rejection -> rejection
                .name()
                .getBytes(StandardCharsets.US_ASCII));
    }
}
