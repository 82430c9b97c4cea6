package org.wingstall.standin.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wingstall.standin.LoopbackPorts;

/**
 * Fills in the shipped template of a gateway's settings as the users' platform does, so that all settings which it leaves
 * out have their defaults.
 *
 * <p>{@code String yaml = ShippedSettings.ofStore(store).fill(template, "box-1", "east");}
 *
 * @since 0.20
 */
public final class ShippedSettings {
    private static final String LOOPBACK = "127.0.0.1";

    /** The bounds of a small deployment. */
    private static final Map<String, String> BOUNDS = Map.ofEntries(
            Map.entry("bounds.retry_budget_ratio", "0.2"),
            Map.entry("bounds.retry_budget_extra", "58"),
            Map.entry("bounds.grace_s", "8"),
            Map.entry("bounds.drain_ms", "2000"),
            Map.entry("bounds.config_apply_ms", "2000"),
            Map.entry("limits.cores", "1"),
            Map.entry("limits.cpu_share", "1"));

    private static final Pattern SECTION = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern NAME = Pattern.compile("\\{\\{([^}]+)}}");

    private final String storeAddress;

    private ShippedSettings(String storeAddress) {
        this.storeAddress = storeAddress;
    }

    /** Returns settings of gateways that call a store at this address. */
    public static ShippedSettings ofStore(String storeAddress) {
        return new ShippedSettings(storeAddress);
    }

    /**
     * Returns the settings of a gateway, in YAML; its ports are free ones.
     *
     * @param template file with the template
     * @param boxId name of the box
     * @param failureDomain its failure domain
     * @throws IOException if the template can't be read or no port can be had
     */
    public String fill(Path template, String boxId, String failureDomain) throws IOException {
        Map<String, String> values = new HashMap<>(BOUNDS);
        values.put("node_name", boxId);
        values.put("zone", failureDomain);
        values.put("region", "home");
        values.put("platform.address", storeAddress);
        values.put("ip", LOOPBACK);
        values.put("listen.front", freeAddress());
        values.put("listen.readiness", freeAddress());
        values.put("internal_ports.0", Integer.toString(LoopbackPorts.next(LOOPBACK)));
        values.put("internal_ports.1", Integer.toString(LoopbackPorts.next(LOOPBACK)));
        Matcher sections = SECTION.matcher(Files.readString(template));
        String open = sections.replaceAll(
                found -> values.containsKey(found.group(1)) ? Matcher.quoteReplacement(found.group(2)) : "");
        return NAME.matcher(open).replaceAll(found -> Matcher.quoteReplacement(valueOf(values, found.group(1))));
    }

    private static String valueOf(Map<String, String> values, String name) {
        String value = values.get(name);
        if (value == null) {
            throw new IllegalArgumentException("the template names '" + name + "', which has no value");
        }
        return value;
    }

    private static String freeAddress() throws IOException {
        return LOOPBACK + ":" + LoopbackPorts.next(LOOPBACK);
    }
}
