package org.wingstall.relay.config;

/**
 * A workspace: the holder of API keys.
 *
 * <p>{@code new Workspace("canteen", 1, RegionRestriction.UNRESTRICTED)}
 *
 * @param name its name
 * @param rank order among workspaces, before that of routes; 0 goes first
 * @param regionRestriction regions in which its requests may run
 * @since 0.2
 */
public record Workspace(String name, int rank, RegionRestriction regionRestriction) {
    /** Stands for callers without a key, on routes where it is optional. */
    public static final Workspace NONE = new Workspace("", 0, RegionRestriction.UNRESTRICTED);
}
