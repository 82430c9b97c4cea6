package org.wingstall.relay.endpoint;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Remembers which software versions each service has had of late, as far as the endpoint list has been followed without
 * a gap. Safe for use on any thread.
 */
final class VersionHistory {
    /** Pause between two looks at the list in which no version can have come and gone, in ms; endpoints leave slower. */
    private static final long MAX_GAP_MS = 2000;

    private static final long LISTED = Long.MAX_VALUE;

    private final Map<String, Map<String, Long>> endsByService = new HashMap<>();
    private long completeSinceMs;
    private long asOfMs = Long.MIN_VALUE;

    /**
     * Records a list.
     *
     * @param versionsByService versions of each service
     * @param asOfMs time since which it may have changed, in ms of the monotonic clock
     * @param nowMs now
     */
    synchronized void listRead(Map<String, Set<String>> versionsByService, long asOfMs, long nowMs) {
        listUnchanged(asOfMs, nowMs);
        endsByService.forEach((service, ends) -> {
            Set<String> listed = versionsByService.getOrDefault(service, Set.of());
            ends.replaceAll((version, endMs) -> endMs == LISTED && !listed.contains(version) ? nowMs : endMs);
        });
        versionsByService.forEach((service, versions) -> versions.forEach(version ->
                endsByService.computeIfAbsent(service, key -> new HashMap<>()).put(version, LISTED)));
    }

    /** Records that the list was as before at a time, in ms of the monotonic clock. */
    synchronized void listUnchanged(long atMs, long nowMs) {
        if (asOfMs == Long.MIN_VALUE || nowMs - asOfMs > MAX_GAP_MS) {
            completeSinceMs = nowMs;
        }
        asOfMs = Math.max(asOfMs, atMs);
    }

    /**
     * Returns the only version that the services have had; empty if there were several, or if that is not known.
     *
     * @param services the services
     * @param withinMs time to look back over, in ms
     * @param nowMs now, in ms of the monotonic clock
     */
    synchronized Optional<String> onlyVersion(Set<String> services, long withinMs, long nowMs) {
        boolean followed =
                asOfMs != Long.MIN_VALUE && nowMs - asOfMs <= MAX_GAP_MS && nowMs - completeSinceMs >= withinMs;
        if (!followed) {
            return Optional.empty();
        }
        Set<String> versions = new HashSet<>();
        for (String service : services) {
            endsByService.getOrDefault(service, Map.of()).forEach((version, endMs) -> {
                if (endMs == LISTED || nowMs - endMs < withinMs) {
                    versions.add(version);
                }
            });
        }
        return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
    }
}
