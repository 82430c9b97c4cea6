package org.wingstall.standin.endpoint;

import net.sourceforge.argparse4j.inf.Namespace;

/** What an endpoint is and how fast it works. */
record EndpointOptions(
        String name,
        String kind,
        String service,
        int slots,
        double runMs,
        double prefillMs,
        double slowDown,
        int cacheBlocks,
        double jitter,
        boolean compute,
        boolean checksToken,
        long loadMs) {
    static EndpointOptions of(Namespace options, String address) {
        return new EndpointOptions(
                address,
                options.getString("kind"),
                options.getString("service"),
                options.getInt("slots"),
                options.getDouble("run_ms"),
                options.getDouble("prefill_ms"),
                options.getDouble("slow_down"),
                options.getInt("cache_blocks"),
                options.getDouble("jitter"),
                options.getBoolean("compute"),
                !options.getBoolean("ignore_tokens"),
                options.getLong("load_ms"));
    }
}
