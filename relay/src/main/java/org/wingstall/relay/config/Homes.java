package org.wingstall.relay.config;

import java.util.HashSet;
import java.util.Set;

/**
 * The regions that a route's or a workspace's requests are bound to.
 *
 * <p>{@code route.homes().and(workspace.homes()).allows("jm-south")}
 *
 * @param bound whether requests are bound at all
 * @param regions the regions that they are bound to; none when nothing is common to route and workspace
 * @since 0.8
 */
public record Homes(boolean bound, Set<String> regions) {
    /** Requests that may run in any region. */
    public static final Homes ANYWHERE = new Homes(false, Set.of());

    /** Copies the regions. */
    public Homes {
        regions = Set.copyOf(regions);
    }

    /** Returns the homes that a list of regions names; an empty list binds to none. */
    public static Homes of(Set<String> regions) {
        return regions.isEmpty() ? ANYWHERE : new Homes(true, regions);
    }

    /** Returns what holds where both bind. */
    public Homes and(Homes other) {
        if (!bound || !other.bound) {
            return bound ? this : other;
        }
        Set<String> common = new HashSet<>(regions);
        common.retainAll(other.regions);
        return new Homes(true, common);
    }

    /** Returns whether requests may run in a region; where a region is not known they may only when they are not bound. */
    public boolean allows(String region) {
        return !bound || regions.contains(region);
    }

    /** Returns whether there is no region where requests may run. */
    public boolean nowhere() {
        return bound && regions.isEmpty();
    }
}
