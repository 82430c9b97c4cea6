package org.wingstall.standin.fleet;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.BindException;
import org.wingstall.standin.LoopbackPorts;
import org.wingstall.standin.proxy.Faults;
import org.wingstall.standin.proxy.Route;

/**
 * The links of one box to all endpoints, through a proxy each, so that the box can be partitioned from endpoints that
 * other boxes reach.
 *
 * <p>{@code EndpointLinks links = fleet.linksOfOneBox(); ... links.cut(EndpointLinks.Cut.SILENT);}
 *
 * @since 0.15
 */
public final class EndpointLinks {
    private static final String LOOPBACK = "127.0.0.1";
    private static final Pattern ADDRESS = Pattern.compile("\"address\":\"([^\"]+)\"");

    private final EventLoopGroup group;
    private final Map<String, Route> routes = new ConcurrentHashMap<>();
    private String storeAddress;

    /** How links are cut. */
    public enum Cut {
        /** Open connections hang, and new ones don't come up. */
        SILENT,
        /** Open connections are reset, and new ones are refused. */
        RESET,
        /** Open connections go on, and new ones are refused. */
        NEW_REFUSED
    }

    EndpointLinks(EventLoopGroup group) {
        this.group = group;
    }

    EndpointLinks withStoreAddress(String address) {
        storeAddress = address;
        return this;
    }

    /** Returns the address at which the store shows the box the endpoints by these links. */
    public String storeAddress() {
        return storeAddress;
    }

    /** Returns the entry of an endpoint with the address at which the box reaches it. */
    String viewOf(String entry) {
        Matcher found = ADDRESS.matcher(entry);
        if (!found.find()) {
            return entry;
        }
        Route route = routes.computeIfAbsent(found.group(1), this::open);
        return entry.replace(found.group(), "\"address\":\"" + Addresses.format(route.address()) + "\"");
    }

    /** Opens a route at a port that the system gives to nobody else while the route is closed. */
    private Route open(String endpointAddress) {
        try {
            InetSocketAddress listen = new InetSocketAddress(LOOPBACK, LoopbackPorts.next(LOOPBACK));
            return Route.open(group, listen, Addresses.parse(endpointAddress));
        } catch (BindException e) {
            throw new UncheckedIOException(new IOException(e));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Cuts the links to all endpoints.
     *
     * @throws IOException if a port can't be had
     */
    public void cut(Cut how) throws IOException {
        for (Route route : routes.values()) {
            cut(route, how);
        }
    }

    private static void cut(Route route, Cut how) throws IOException {
        switch (how) {
            case SILENT -> {
                route.leaveConnectionsUnanswered();
                route.set(Faults.NONE.withFreeze());
            }
            case RESET -> {
                route.refuseConnections();
                route.set(Faults.NONE.withCut());
            }
            case NEW_REFUSED -> route.refuseConnections();
        }
    }

    /**
     * Ends the cut.
     *
     * @throws IOException if a port can't be had
     */
    public void heal() throws IOException {
        for (Route route : routes.values()) {
            route.set(Faults.NONE);
            route.acceptConnections();
        }
    }
}
