package org.wingstall.relay.config;

import java.util.Set;

/**
 * The failure domains that operators have evacuated: their endpoints get no new work.
 *
 * <p>{@code evacuations.failureDomains().contains("kgn-a")}
 *
 * @param asOfVersion version of the store that this was read at; 0 before the first read
 * @param failureDomains the evacuated failure domains
 * @since 0.8
 */
public record Evacuations(long asOfVersion, Set<String> failureDomains) {
    /** The value before the first read. */
    public static final Evacuations UNKNOWN = new Evacuations(0, Set.of());

    /** Copies the failure domains. */
    public Evacuations {
        failureDomains = Set.copyOf(failureDomains);
    }
}
