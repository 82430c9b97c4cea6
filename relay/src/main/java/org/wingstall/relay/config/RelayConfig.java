package org.wingstall.relay.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration, immutable.
 *
 * <p>{@code config.findRoute("canteen.example", "/orders/1")}
 *
 * @since 0.2
 */
public final class RelayConfig {
    /** The value before a configuration is known. */
    public static final RelayConfig NONE =
            new RelayConfig(0, List.of(), List.of(), Map.of(), false, ClientLimits.DEFAULTS);

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Map<String, Workspace> workspacesByKey;
    private final boolean keysRequired;
    private final ClientLimits limits;

    /**
     * Creates a version.
     *
     * @param version its number; later versions have greater ones
     * @param routes its routes
     * @param services its services
     * @param workspacesByKey workspaces by API key
     * @param keysRequired whether routes need a key unless it is optional for them
     * @param limits limits for clients
     */
    public RelayConfig(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            Map<String, Workspace> workspacesByKey,
            boolean keysRequired,
            ClientLimits limits) {
        this.version = version;
        this.workspacesByKey = Map.copyOf(workspacesByKey);
        this.keysRequired = keysRequired;
        this.limits = limits;
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routesByHost.values().forEach(ofHost -> ofHost.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /** Returns the number of the version; 0 before one is known. */
    public long version() {
        return version;
    }

    /** Returns whether a configuration is known. */
    public boolean known() {
        return version > 0;
    }

    /** Returns the route of a host with the longest prefix of the path. */
    public Optional<Route> findRoute(String host, String path) {
        String name = withoutPort(host).toLowerCase(Locale.ROOT);
        for (Route route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    /** Returns a service, if the configuration has it. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the workspace of an API key; empty for an unknown key or none. */
    public Optional<Workspace> workspaceForKey(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(workspacesByKey.get(key));
    }

    /** Returns whether routes need a key unless it is optional for them. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the limits for clients. */
    public ClientLimits limits() {
        return limits;
    }
}
