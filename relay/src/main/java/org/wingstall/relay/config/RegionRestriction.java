package org.wingstall.relay.config;

import java.util.HashSet;
import java.util.Set;

/**
 * The regions in which requests of a route or workspace may run.
 *
 * <p>{@code route.regionRestriction().intersect(workspace.regionRestriction()).allows("jm-south")}
 *
 * @param restricted whether requests are restricted at all
 * @param regions the allowed regions; empty when route and workspace have none in common
 * @since 0.8
 */
public record RegionRestriction(boolean restricted, Set<String> regions) {
    /** Requests that may run in any region. */
    public static final RegionRestriction UNRESTRICTED = new RegionRestriction(false, Set.of());

    /** Copies the regions. */
    public RegionRestriction {
        regions = Set.copyOf(regions);
    }

    /** Returns the restriction to a set of regions; an empty set does not restrict. */
    public static RegionRestriction of(Set<String> regions) {
        return regions.isEmpty() ? UNRESTRICTED : new RegionRestriction(true, regions);
    }

    /** Returns the restriction to what both allow. */
    public RegionRestriction intersect(RegionRestriction other) {
        if (!restricted || !other.restricted) {
            return restricted ? this : other;
        }
        Set<String> common = new HashSet<>(regions);
        common.retainAll(other.regions);
        return new RegionRestriction(true, common);
    }

    /** Returns whether requests may run in a region; a region that is not known is allowed only without restriction. */
    public boolean allows(String region) {
        return !restricted || regions.contains(region);
    }

    /** Returns whether requests may run in no region. */
    public boolean allowsNone() {
        return restricted && regions.isEmpty();
    }
}
