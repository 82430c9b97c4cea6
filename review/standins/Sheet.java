/** The configuration of the cases: a kind of request with one stage before it, in the figures of the site dutchpot-kgn. */
final class Sheet {
    static final String STAGE = "pay-ledger";
    static final String MODEL = "wingstall-llm";
    static final double CALL_MS = 150;
    static final double ITEM_MS = 18.2857;
    static final int BATCH = 7;
    static final int QUEUE = 2;
    static final long KEPT_MS = 4000;

    private Sheet() {}

    static String config(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-plan\",\"host\":\"pule25.example\","
                + "\"path_prefix\":\"/puxa400/\",\"route_type\":\"streaming\",\"timeout_ms\":8000,\"slo_ms\":1000,"
                + "\"priority\":1,\"service\":\"wingstall-llm\",\"max_attempts\":1,"
                + "\"stages\":[{\"service\":\"pay-ledger\",\"after_revision\":[],\"bytes\":3000000}],"
                + "\"public\":false,\"sticky\":true,\"resumable\":false,\"itl_target_ms\":200},"
                + "{\"name\":\"r-sum\",\"host\":\"pule25.example\",\"path_prefix\":\"/cufi501/\","
                + "\"route_type\":\"streaming\",\"timeout_ms\":8000,\"slo_ms\":1600,\"priority\":0,"
                + "\"service\":\"wingstall-llm\",\"max_attempts\":2,"
                + "\"stages\":[{\"service\":\"pay-ledger\",\"after_revision\":[],\"bytes\":8000}],"
                + "\"public\":false,\"sticky\":true,\"resumable\":true,\"itl_target_ms\":200}],"
                + "\"services\":[{\"name\":\"wingstall-llm\",\"health_path\":\"/healthz\",\"max_conns\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity\":614608,"
                + "\"kv_bytes\":163840,\"link_mbps\":1100000.0,\"moves\":false,\"backups\":false,\"stride\":5,"
                + "\"most\":12,\"kv_handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"pay-ledger\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\","
                + "\"tls\":false,\"pieces\":{\"slots\":1,\"queue\":" + QUEUE + ",\"batch\":" + BATCH
                + ",\"call_ms\":" + CALL_MS + ",\"item_ms\":" + ITEM_MS
                + ",\"headroom_mb\":34.125,\"kv_handle_s\":" + KEPT_MS / 1000.0 + ",\"link_mbps\":10000}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"" + Clients.KEY + "\"],\"priority\":1}]}";
    }
}
