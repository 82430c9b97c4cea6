package org.wingstall.relay.config;

/**
 * The holder of a key.
 *
 * <p>{@code new Workspace("canteen", 1)}
 *
 * @param name its name
 * @param rank order among workspaces, before that of routes; 0 goes first
 * @since 0.2
 */
public record Workspace(String name, int rank) {
    /** Whoever calls an open route without a key. */
    public static final Workspace NONE = new Workspace("", 0);
}
