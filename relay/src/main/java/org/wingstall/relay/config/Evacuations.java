package org.wingstall.relay.config;

import java.util.HashSet;
import java.util.Set;
import org.wingstall.core.member.StoreVersion;

/**
 * The failure domains that operators have evacuated: their endpoints get no new work.
 *
 * <p>{@code evacuations.failureDomains().contains("kgn-a")}
 *
 * @param asOfVersion version of the store that this was read at
 * @param failureDomains the evacuated failure domains
 * @since 0.8
 */
public record Evacuations(StoreVersion asOfVersion, Set<String> failureDomains) {
    /** The value before the first read. */
    public static final Evacuations UNKNOWN = new Evacuations(StoreVersion.NONE, Set.of());

    /** Copies the failure domains. */
    public Evacuations {
        failureDomains = Set.copyOf(failureDomains);
    }

    /** Returns these evacuations and those of further failure domains. */
    public Evacuations with(Set<String> further) {
        Set<String> all = new HashSet<>(failureDomains);
        all.addAll(further);
        return new Evacuations(asOfVersion, all);
    }
}
