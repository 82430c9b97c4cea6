/** Configurations of a small deployment, as the operator writes them under op/config. */
final class Config {
    static final String HOST = "menu.example";
    static final String KEY = "key-of-the-first-workspace";
    static final int MAX_BODY_BYTES = 4_194_304;

    private Config() {}

    static String route(String name, String type, String service, int attempts, int timeoutMs, boolean resumable) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/" + name
                + "/\",\"route_type\":\"" + type + "\",\"timeout_ms\":" + timeoutMs
                + ",\"slo_ms\":1000,\"priority\":0,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
                + ",\"public\":false,\"sticky\":false,\"resumable\":" + resumable + ",\"stages\":[]}";
    }

    static String service(String name, int connections) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":" + connections
                + ",\"protocol\":\"h1\",\"tls\":false}";
    }

    static String document(long version, String services, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + MAX_BODY_BYTES
                + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"first\",\"api_keys\":[\""
                + KEY + "\"],\"priority\":1}]}";
    }

    /** Returns the head of a client's request. */
    static String head(String method, String target, String id, long deadlineMs, int length, String more) {
        return method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Wingstall-Attempt-Id: " + id
                + "\r\nX-Wingstall-Deadline-Ms: " + deadlineMs + "\r\nX-Api-Key: " + KEY + "\r\n" + more
                + "Content-Length: " + length + "\r\n\r\n";
    }
}
