package org.wingstall.it.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.awaitility.Awaitility;
import org.wingstall.gateway.GatewayMain;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.platform.Member;
import org.wingstall.standin.StandinMain;

/**
 * A fleet of real processes on loopback: the platform, endpoints and gateways, with a fault proxy between each gateway and
 * the platform, before each endpoint and before each gateway's peer address.
 */
public final class TestFleet implements AutoCloseable {
    private static final Duration START = Duration.ofSeconds(40);

    private final Path folder;
    private final List<TestProcess> processes = new ArrayList<>();
    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final List<String> routes = new ArrayList<>();
    private final String platform = Ports.address("127.0.0.1");
    private final String proxyControls = Ports.address("127.0.0.1");
    private final FleetTable table = new FleetTable(platform);

    /** An entry box with its gateway. */
    public record Box(
            String id,
            String domain,
            String ip,
            String caller,
            String operator,
            String peerRoute,
            String platformRoute,
            TestProcess[] slot) {
        public TestProcess process() {
            return slot[0];
        }
    }

    /** An endpoint; the route is the address that gateways know. */
    public record Endpoint(String id, String service, String domain, String address, String route, TestProcess[] slot) {
        public TestProcess process() {
            return slot[0];
        }
    }

    private final List<Runnable> gatewayStarts = new ArrayList<>();

    public TestFleet(String name) {
        try {
            Path root = Path.of("target", "it-logs");
            Files.createDirectories(root);
            folder = Files.createTempDirectory(root, name);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        start("platform", StandinMain.class, "platform", "--listen", platform);
    }

    private TestProcess start(String name, Class<?> main, String... args) {
        TestProcess process = TestProcess.start(folder, name, main, args);
        processes.add(process);
        return process;
    }

    /** Adds endpoints of one service in one process. */
    public TestFleet endpoints(String kind, String service, String domain, int count, String... options) {
        TestProcess[] slot = new TestProcess[1];
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = service + "-" + domain + "-" + i;
            String address = Ports.address("127.0.0.1");
            addresses.add(address);
            endpoints.put(id, new Endpoint(id, service, domain, address, route(address), slot));
        }
        List<String> args = new ArrayList<>(List.of("endpoint", "--kind", kind, "--service", service, "--listen"));
        args.addAll(addresses);
        args.addAll(Arrays.asList(options));
        slot[0] = start(service + "-" + domain, StandinMain.class, args.toArray(String[]::new));
        return this;
    }

    /** Adds a gateway; further settings are lines of YAML. */
    public TestFleet gateway(String id, String domain, String... settings) {
        String ip = "127.0.1." + (boxes.size() + 1);
        String peerAddress = Ports.address(ip);
        Box box = new Box(
                id,
                domain,
                ip,
                Ports.address("127.0.0.1"),
                Ports.address("127.0.0.1"),
                route(peerAddress),
                route(platform),
                new TestProcess[1]);
        boxes.put(id, box);
        gatewayStarts.add(() -> box.slot()[0] = startGateway(box, peerAddress, settings));
        return this;
    }

    private TestProcess startGateway(Box box, String peerAddress, String... settings) {
        List<String> seeds = boxes.values().stream()
                .filter(other -> other != box)
                .map(Box::peerRoute)
                .toList();
        String yaml = String.join(
                "\n",
                "boxId: " + box.id(),
                "failureDomain: " + box.domain(),
                "callerAddress: " + box.caller(),
                "operatorAddress: " + box.operator(),
                "peerAddress: " + peerAddress,
                "advertisedPeerAddress: " + box.peerRoute(),
                "platformAddress: " + box.platformRoute(),
                "peerSeeds: " + seeds,
                String.join("\n", settings),
                "");
        Path file = folder.resolve(box.id() + ".yaml");
        try {
            Files.writeString(file, yaml);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return start(box.id(), GatewayMain.class, "--settings", file.toString());
    }

    private String route(String target) {
        String listen = Ports.address("127.0.0.1");
        routes.add(listen + "=" + target);
        return listen;
    }

    /** Starts proxy and gateways, imports the rows and waits until every gateway is ready; ends all if that fails. */
    public TestFleet begin(String rows) {
        try {
            startAll(rows);
            return this;
        } catch (RuntimeException | Error e) {
            close();
            throw e;
        }
    }

    private void startAll(String rows) {
        List<String> args = new ArrayList<>(List.of("faultproxy", "--listen", proxyControls, "--route"));
        args.addAll(routes);
        TestProcess proxy = start("proxy", StandinMain.class, args.toArray(String[]::new));
        processes.forEach(process -> process.awaitLine("listening"));
        endpoints.values().forEach(endpoint -> register(endpoint, Member.State.LIVE));
        boxes.values().forEach(this::register);
        table.importRows(rows);
        proxy.awaitLine("listening");
        gatewayStarts.forEach(Runnable::run);
        boxes.values().forEach(this::awaitReady);
    }

    public void awaitReady(Box box) {
        Awaitility.await(box.id() + " is ready")
                .atMost(START)
                .pollInterval(Duration.ofMillis(50))
                .until(() -> ready(box));
    }

    public boolean ready(Box box) {
        try {
            return Http.get(box.operator(), "/readyz").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void register(Box box) {
        admin(
                "/admin/member",
                new Member(
                        box.id(),
                        Member.Kind.GATEWAY,
                        box.domain(),
                        box.peerRoute(),
                        null,
                        null,
                        Member.State.LIVE,
                        1,
                        0,
                        0));
    }

    public void register(Endpoint endpoint, Member.State state) {
        register(endpoint, state, 1);
    }

    public void register(Endpoint endpoint, Member.State state, long incarnation) {
        admin(
                "/admin/member",
                new Member(
                        endpoint.id(),
                        Member.Kind.ENDPOINT,
                        endpoint.domain(),
                        endpoint.route(),
                        endpoint.service(),
                        "plain",
                        state,
                        incarnation,
                        0,
                        0));
    }

    public String platformAddress() {
        return platform;
    }

    public Box box(String id) {
        return boxes.get(id);
    }

    public List<Box> boxes() {
        return List.copyOf(boxes.values());
    }

    public Endpoint endpoint(String id) {
        return endpoints.get(id);
    }

    public List<Endpoint> endpoints(String service) {
        return endpoints.values().stream()
                .filter(e -> e.service().equals(service))
                .toList();
    }

    public JsonNode admin(String path, Object document) {
        return must(() -> Http.post(platform, path, document)).json();
    }

    public void platformFaults(String json) {
        admin("/admin/faults", tree(json));
    }

    public void endpointFaults(Endpoint endpoint, String json) {
        must(() -> Http.post(endpoint.address(), "/admin/faults", tree(json)));
    }

    public void routeFaults(String route, String json) {
        must(() -> Http.post(proxyControls, "/admin/faults?route=" + route, tree(json)));
    }

    /** Cuts a failure domain off from the other ones and from the platform, or heals the cut. */
    public void cutDomain(String domain, boolean cut) {
        for (Box box : boxes.values()) {
            boolean inside = box.domain().equals(domain);
            List<String> cutIps = boxes.values().stream()
                    .filter(other -> other.domain().equals(domain) != inside)
                    .map(other -> "\"" + other.ip() + "\"")
                    .toList();
            routeFaults(box.peerRoute(), cut ? "{\"cutFrom\": " + cutIps + "}" : "{}");
            if (inside) {
                routeFaults(box.platformRoute(), "{\"cut\": " + cut + "}");
            }
        }
    }

    /** Cuts one box off from all its peers, but not from the platform, or heals the cut. */
    public void cutFromPeers(Box alone, boolean cut) {
        for (Box box : boxes.values()) {
            List<String> ips = boxes.values().stream()
                    .filter(other -> (box == alone) != (other == alone))
                    .map(other -> "\"" + other.ip() + "\"")
                    .toList();
            routeFaults(box.peerRoute(), cut ? "{\"cutFrom\": " + ips + "}" : "{}");
        }
    }

    /** Takes every fault of the platform, of endpoints and of the network away. */
    public void healFaults() {
        platformFaults("{}");
        boxes.values().forEach(box -> {
            routeFaults(box.peerRoute(), "{}");
            routeFaults(box.platformRoute(), "{}");
        });
        endpoints.values().forEach(endpoint -> {
            endpointFaults(endpoint, "{}");
            routeFaults(endpoint.route(), "{}");
        });
    }

    /** Waits for boxes that were told to stop; until they have ended they can't be started again. */
    public void awaitStops(long seconds) {
        boxes.values().forEach(box -> box.process().awaitStop(seconds));
    }

    /** Thaws every box and starts again those whose process has ended. */
    public void reviveBoxes() {
        for (Box box : boxes.values()) {
            box.process().thaw();
            if (!box.process().alive()) {
                box.process().restart();
            }
        }
    }

    /** Returns every run that endpoints of a service have on record. */
    public List<JsonNode> runs(String service) {
        List<JsonNode> runs = new ArrayList<>();
        for (Endpoint endpoint : endpoints(service)) {
            if (endpoint.process().alive()) {
                must(() -> Http.get(endpoint.address(), "/admin/runs")).json().forEach(runs::add);
            }
        }
        return runs;
    }

    public long revision(Box box) {
        try {
            return Http.get(box.operator(), "/v1/fleet").json().path("revision").asLong();
        } catch (IOException e) {
            return -1;
        }
    }

    /** Returns the state in which a box has an endpoint; empty when it doesn't know it. */
    public String stateAt(Box box, String endpointId) {
        try {
            for (JsonNode endpoint :
                    Http.get(box.operator(), "/v1/fleet").json().path("endpoints")) {
                if (endpoint.path("memberId").asText().equals(endpointId)) {
                    return endpoint.path("state").asText();
                }
            }
            return "";
        } catch (IOException e) {
            return "";
        }
    }

    /** Reads one metric of a gateway; labels are part of the name. */
    public double metric(Box box, String name) {
        String text = must(() -> Http.get(box.operator(), "/metrics")).body();
        return text.lines()
                .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Returns the operators' way to the table. */
    public FleetTable table() {
        return table;
    }

    public static JsonNode tree(String json) {
        try {
            return Json.readTree(json.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        } catch (InvalidDocumentException e) {
            throw new AssertionError(json, e);
        }
    }

    public static ObjectNode body(String workspace, String text) {
        ObjectNode body = Json.MAPPER.createObjectNode().put("workspace", workspace);
        body.putObject("input").put("text", text);
        return body;
    }

    /** A call that must be answered. */
    private interface Call {
        Http.Reply run() throws IOException;
    }

    private static Http.Reply must(Call call) {
        try {
            Http.Reply reply = call.run();
            if (reply.status() != 200) {
                throw new AssertionError(reply.status() + " " + reply.body());
            }
            return reply;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void close() {
        processes.forEach(TestProcess::close);
    }
}
