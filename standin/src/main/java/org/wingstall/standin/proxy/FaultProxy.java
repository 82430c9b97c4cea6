package org.wingstall.standin.proxy;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.HttpCall;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.standin.StandinServer;

/**
 * A TCP proxy of several routes, each with faults of its own that are set over HTTP.
 *
 * <p>{@code POST /admin/faults?route=127.0.0.1:10001} with {@code {"cut": true}}
 *
 * @since 0.1
 */
public final class FaultProxy {
    private final Map<String, Route> routes = new ConcurrentHashMap<>();

    private FaultProxy() {}

    /**
     * Starts the proxy.
     *
     * @param controls IP address and port of its controls
     * @param pairs listen=target pairs
     * @throws BindException if an address can't be had
     */
    public static void start(String controls, List<String> pairs) throws BindException {
        EventLoopGroup group = EventLoops.group("proxy", 2);
        FaultProxy proxy = new FaultProxy();
        for (String pair : pairs) {
            proxy.open(group, pair);
        }
        StandinServer.start(group, controls, proxy::control);
    }

    private void open(EventLoopGroup group, String pair) throws BindException {
        String listen = pair.substring(0, pair.indexOf('='));
        Route route =
                Route.open(group, Addresses.parse(listen), Addresses.parse(pair.substring(pair.indexOf('=') + 1)));
        routes.put(listen, route);
    }

    private void control(HttpCall call) {
        Route route = routes.get(call.query("route", ""));
        if (route == null) {
            call.respond(404, "text/plain", "no such route\n".getBytes());
            return;
        }
        try {
            route.set(Faults.read(Json.readTree(call.body())));
            call.respondJson(200, route.faults());
        } catch (InvalidDocumentException e) {
            call.respond(400, "text/plain", e.getMessage().getBytes());
        }
    }
}
