package org.wingstall.soak;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;
import org.wingstall.standin.fleet.CrashingEndpoint;
import org.wingstall.standin.fleet.CrashingEndpoint.Kind;
import org.wingstall.standin.fleet.EndpointLinks;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.StoreStandin;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.proxy.Faults;
import org.wingstall.standin.proxy.Route;

/**
 * The gateways of a soak, and the stand-ins around them, each behind a proxy of its own.
 *
 * <p>{@code SoakFleet fleet = new SoakFleet(options, observations); fleet.start(); ... fleet.close();}
 *
 * @since 0.3
 */
final class SoakFleet implements AutoCloseable {
    /** Events of the engines' streams. */
    static final int EVENTS = 8;

    /** Retries that the settings allow beyond the share; fewer than the platform's, so that a few callers show excess. */
    static final int RETRY_EXTRA = 5;

    /** Share of requests that the settings allow to be sent once more; a quarter of the platform's, for the same reason. */
    static final double RETRY_RATIO = 0.05;

    private static final String ENGINES = "engine";
    private static final String LOOPBACK = "127.0.0.1";
    static final List<String> DOMAINS = List.of("east", "west");
    /** Endpoints that a request can crash. */
    private static final int FRAGILE = 4;

    /** Endpoints that a part of a prompt can crash. */
    private static final int PROMPTED = 6;

    /** Time of a call for pieces, in ms; as on the platform's pages. */
    private static final long CALL_MS = 150;

    /** The setting that the shipped template takes from the platform's bound. */
    private static final String LEAVING_WITHIN = "leavingWithinMs: " + Promises.DRAIN_MS + "\n";

    private static final long ROUTE_TIMEOUT_MS = 4000;

    /** Rows of other writers in each table; more than the store gives at once. */
    private static final int FOREIGN_ROWS = 600;

    private static final List<String> FOREIGN_KEYS = List.of("&limit=1", "+", "#", "%", " ", "%41", "\n", "\u00e9");

    private final SoakOptions options;
    private final Observations observations;
    private final EventLoopGroup group = EventLoops.group("soak-proxies", 1);
    private final FleetStandin standin;
    private final Map<String, Box> boxes = new TreeMap<>();
    private final Map<String, Endpoint> endpoints = new ConcurrentSkipListMap<>();
    private final AtomicLong version = new AtomicLong();
    private Box slowBox;

    /** A gateway, its addresses, its way to the store and its links to endpoints. */
    record Box(
            String id,
            BoxProcess process,
            String callerAddress,
            String readinessAddress,
            Route store,
            EndpointLinks links) {}

    /** An endpoint and the proxy before it. */
    record Endpoint(String id, String service, String domain, WorkerStandin worker, Route route) {
        String address() {
            return LOOPBACK + ":" + route.address().getPort();
        }
    }

    SoakFleet(SoakOptions options, Observations observations) throws BindException {
        this.options = options;
        this.observations = observations;
        this.standin = new FleetStandin();
    }

    void start() throws BindException, IOException {
        for (int i = 0; i < 3; i++) {
            add("engine", EVENTS);
            add("plain", 0);
            add(ColdReturns.SERVICE, 0);
        }
        for (int i = 0; i < 2; i++) {
            add("first", 0);
            add("second", 0);
        }
        for (int i = 0; i < FRAGILE; i++) {
            Kind kind = new Kind("fragile", DOMAINS.get(i % DOMAINS.size()), "fragile-" + i, 0);
            new CrashingEndpoint(standin, observations.crashes(), kind).start();
        }
        for (int i = 0; i < PROMPTED; i++) {
            Kind kind = new Kind("prompted", DOMAINS.get(i % DOMAINS.size()), "prompted-" + i, 0);
            new CrashingEndpoint(standin, observations.partCrashes(), kind).start();
        }
        addForeignRows();
        configureNext();
        for (int i = 0; i < options.boxes(); i++) {
            Box box = startBox("box-" + (i + 1), DOMAINS.get(i % DOMAINS.size()), List.of());
            boxes.put(box.id(), box);
        }
    }

    /** Writes more than a page of rows of other writers to each table, before all keys of the fleet. */
    private void addForeignRows() {
        for (int i = 0; i < FOREIGN_ROWS; i++) {
            String key = i + FOREIGN_KEYS.get(i % FOREIGN_KEYS.size());
            List.of("op", "servers", "boxes", "crashes").forEach(table -> store().put(table, key, "of another writer"));
        }
    }

    /** Starts a box whose code is never compiled; it takes part in the fleet, but gets no faults and no usual callers. */
    Box startSlowBox() throws BindException, IOException {
        slowBox = startBox("slow-1", DOMAINS.get(0), List.of("-Xint"));
        return slowBox;
    }

    private Box startBox(String boxId, String domain, List<String> options) throws BindException, IOException {
        EndpointLinks links = standin.linksOfOneBox();
        Route store = Route.open(group, anyPort(), Addresses.parse(links.storeAddress()));
        String text = standin.settings(boxId, domain)
                .replace(
                        standin.storeAddress(), LOOPBACK + ":" + store.address().getPort())
                .replaceAll("retryBudgetRatio: .*", "retryBudgetRatio: " + RETRY_RATIO)
                .replaceAll("retryBudgetExtra: .*", "retryBudgetExtra: " + RETRY_EXTRA);
        if (this.options.shippedIntervals()) {
            text = text.replaceAll("(configWaitMs|endpointIntervalMs|stopNoticeMs): .*\n", "") + LEAVING_WITHIN;
        }
        Path settings = this.options.folder().resolve(boxId + ".yaml");
        Files.writeString(settings, text);
        BoxProcess process =
                new BoxProcess(boxId, settings, this.options.folder().resolve(boxId + ".log"), options);
        process.start();
        // As after every later start, bounds in time hold from some time after it on: callers who connect meanwhile
        // wait.
        long startedMs = observations.nowMs();
        observations.disturbed(new Disturbance(boxId, "BOX_START", false, startedMs, startedMs));
        return new Box(
                boxId,
                process,
                FleetStandin.valueOf(text, "callerAddress"),
                FleetStandin.valueOf(text, "readinessAddress"),
                store,
                links);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(LOOPBACK, 0);
    }

    /** Starts and lists a further endpoint of a service. */
    Endpoint add(String service, int events) throws BindException {
        Endpoint endpoint = create(service, events, null);
        list(endpoint, "ready");
        return endpoint;
    }

    /** Starts and lists a further endpoint that has just started; its entry tells how long it is cold for that. */
    Endpoint addCold(String service) throws BindException {
        Endpoint endpoint = create(service, 0, null);
        endpoint.worker().recordIn(observations.cold());
        turnCold(endpoint, FleetStandin.COLD_START_MS);
        return endpoint;
    }

    /** Starts an endpoint; at the address of another one, if there is one that has ended. */
    private Endpoint create(String service, int events, Route reused) throws BindException {
        int number = endpoints.size() + 1;
        String id = service + "-" + number;
        WorkerStandin worker = new WorkerStandin(id, events, CALL_MS).recordIn(observations.limits());
        worker.observe(observations::arrived);
        if (service.equals(ENGINES)) {
            worker.writeAs(versionOf(number));
        }
        InetSocketAddress target = Addresses.parse(standin.start(worker));
        Route route = reused;
        if (route == null) {
            route = Route.open(group, anyPort(), target);
        } else {
            route.retarget(target);
            route.set(Faults.NONE);
        }
        Endpoint endpoint = new Endpoint(id, service, DOMAINS.get(number % DOMAINS.size()), worker, route);
        endpoints.put(id, endpoint);
        observations.placed(id, endpoint.domain());
        return endpoint;
    }

    /** Lets an endpoint of another service take over the address of one that has left. */
    void replace(Endpoint left, String service, int events) throws BindException {
        list(create(service, events, left.route()), "ready");
    }

    /** Engines of two software versions serve side by side. */
    private static String versionOf(int number) {
        return "v" + (1 + number % 2);
    }

    void list(Endpoint endpoint, String state) {
        int number = Integer.parseInt(endpoint.id().substring(endpoint.id().lastIndexOf('-') + 1));
        standin.listVersion(
                endpoint.service(), endpoint.domain(), endpoint.id(), endpoint.address(), state, versionOf(number));
        if (!state.equals("ready")) {
            observations.leaving(endpoint.id());
        }
    }

    /** Lets an endpoint that serves say that it is cold for so many ms. */
    void turnCold(Endpoint endpoint, long coldMs) {
        standin.list(endpoint.service(), endpoint.domain(), endpoint.id(), endpoint.address(), "ready", coldMs);
    }

    void unlist(Endpoint endpoint) {
        standin.store().remove("servers", endpoint.id());
    }

    /** Writes the next version of the configuration, which leads one route to a service of its own. */
    void configureNext() throws BindException {
        long next = version.incrementAndGet();
        add(FleetStandin.serviceOfVersion(next), 0);
        standin.configure(next, ROUTE_TIMEOUT_MS);
        observations.configured(next);
    }

    void evacuate(String domain) {
        store().put("op", "evacuate/" + domain, "{}");
    }

    void takeBack(String domain) {
        store().remove("op", "evacuate/" + domain);
    }

    StoreStandin store() {
        return standin.store();
    }

    List<Box> boxes() {
        return List.copyOf(boxes.values());
    }

    Box box(String id) {
        return boxes.get(id);
    }

    List<Endpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /** Returns the endpoints of a service that were there from the start and have not left. */
    List<Endpoint> lasting(String service) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.service().equals(service))
                .filter(endpoint -> !observations.leavingSinceMs().containsKey(endpoint.id()))
                .toList();
    }

    /** Takes all faults away. */
    void heal() {
        boxes.values().forEach(box -> box.store().set(Faults.NONE));
        endpoints.values().forEach(endpoint -> {
            endpoint.route().set(Faults.NONE);
            endpoint.worker().behave(WorkerStandin.Behaviour.ANSWERS);
        });
        store().mode(StoreStandin.Mode.SERVING);
    }

    @Override
    public void close() throws InterruptedException {
        for (Box box : boxes.values()) {
            box.process().kill();
        }
        if (slowBox != null) {
            slowBox.process().kill();
        }
        standin.close();
        group.shutdownGracefully();
    }
}
