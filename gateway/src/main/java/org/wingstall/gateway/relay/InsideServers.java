package org.wingstall.gateway.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.function.BooleanSupplier;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.BindException;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.HttpHandler;
import org.wingstall.net.http.HttpLimits;
import org.wingstall.net.http.HttpServer;
import org.wingstall.schema.settings.RelaySettings;

/** Serves those who are not callers: the balancer, which asks whether the box is ready, and operators. */
final class InsideServers {
    private static final HttpLimits LIMITS = new HttpLimits(65_536, 64, 2000, 60_000);

    private InsideServers() {}

    /**
     * Starts to listen.
     *
     * @param settings addresses
     * @param control event loop of the questions for readiness
     * @param requests event loops of operators: gauges look into pools that are confined to the request loop
     * @param ready whether the box takes callers
     * @param operators answers operators
     * @throws BindException if an address can't be had
     */
    static void start(
            RelaySettings settings,
            EventLoop control,
            EventLoopGroup requests,
            BooleanSupplier ready,
            HttpHandler operators)
            throws BindException {
        listen(control, settings.getReadinessAddress(), call -> answerReadiness(call, ready.getAsBoolean()));
        listen(requests, settings.getOperatorAddress(), operators);
    }

    private static void listen(EventLoopGroup group, String address, HttpHandler handler) throws BindException {
        HttpServer.start(group, Addresses.parse(address), LIMITS, handler, rejection -> new byte[0]);
    }

    private static void answerReadiness(HttpCall call, boolean ready) {
        call.respond(ready ? 200 : 503, "text/plain", new byte[0]);
    }
}
