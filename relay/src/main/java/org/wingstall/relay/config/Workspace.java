package org.wingstall.relay.config;

/**
 * The holder of a key.
 *
 * <p>{@code new Workspace("canteen", 1, RegionRestriction.ANYWHERE)}
 *
 * @param name its name
 * @param rank order among workspaces, before that of routes; 0 goes first
 * @param homes regions that its requests are bound to
 * @since 0.2
 */
public record Workspace(String name, int rank, RegionRestriction regionRestriction) {
    /** Whoever calls an open route without a key. */
    public static final Workspace NONE = new Workspace("", 0, RegionRestriction.UNRESTRICTED);
}
