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
public record RegionRestriction(boolean restricted, Set<String> regions) {
    /** Requests that may run in any region. */
    public static final RegionRestriction UNRESTRICTED = new RegionRestriction(false, Set.of());

    /** Copies the regions. */
    public RegionRestriction {
        regions = Set.copyOf(regions);
    }

    /** Returns the homes that a list of regions names; an empty list binds to none. */
    public static RegionRestriction of(Set<String> regions) {
        return regions.isEmpty() ? UNRESTRICTED : new RegionRestriction(true, regions);
    }

    /** Returns what holds where both bind. */
    public RegionRestriction intersect(RegionRestriction other) {
        if (!restricted || !other.restricted) {
            return restricted ? this : other;
        }
        Set<String> common = new HashSet<>(regions);
        common.retainAll(other.regions);
        return new RegionRestriction(true, common);
    }

    /** Returns whether requests may run in a region; where a region is not known they may only when they are not bound. */
    public boolean allows(String region) {
        return !restricted || regions.contains(region);
    }

    /** Returns whether there is no region where requests may run. */
    public boolean allowsNone() {
        return restricted && regions.isEmpty();
    }
}
