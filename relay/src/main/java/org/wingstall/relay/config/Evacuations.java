package org.wingstall.relay.config;

import java.util.Set;

/**
 * The failure domains whose endpoints are to get no new work, as the operators want it.
 *
 * <p>{@code evacuations.failureDomains().contains("kgn-a")}
 *
 * @param asOfVersion version of the store as of which this holds; 0 before anything is known
 * @param failureDomains the evacuated failure domains
 * @since 0.8
 */
public record Evacuations(long asOfVersion, Set<String> failureDomains) {
    /** What holds before anything is known. */
    public static final Evacuations UNKNOWN = new Evacuations(0, Set.of());

    /** Copies the failure domains. */
    public Evacuations {
        failureDomains = Set.copyOf(failureDomains);
    }
}
