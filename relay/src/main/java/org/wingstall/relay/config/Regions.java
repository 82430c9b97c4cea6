package org.wingstall.relay.config;

import java.util.HashMap;
import java.util.Map;

/**
 * The region of each failure domain, from the settings.
 *
 * <p>{@code Regions.parse("kgn-a=jm-south,kgn-b=jm-south").of("kgn-a")}
 *
 * @param byDomain region by failure domain
 * @since 0.8
 */
public record Regions(Map<String, String> byDomain) {
    /** Copies the map. */
    public Regions {
        byDomain = Map.copyOf(byDomain);
    }

    /** Reads pairs of failure domain and region joined by commas; validity is checked by the schema of the settings. */
    public static Regions parse(String pairs) {
        Map<String, String> regions = new HashMap<>();
        for (String pair : pairs.split(",")) {
            int middle = pair.indexOf('=');
            if (middle > 0) {
                regions.put(pair.substring(0, middle), pair.substring(middle + 1));
            }
        }
        return new Regions(regions);
    }

    /** Returns the region of a failure domain; empty when it is not known. */
    public String of(String failureDomain) {
        return byDomain.getOrDefault(failureDomain, "");
    }
}
