package org.wingstall.standin.fleet;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.wingstall.core.peer.RendezvousHash;
import org.wingstall.net.BindException;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashLog;
import org.wingstall.standin.fleet.EndpointLinks.Cut;
import org.wingstall.standin.fleet.WorkerStandin.Behaviour;

/**
 * Lets one gateway do what a box of a fleet does beside requests that succeed: links to other boxes, work that it delegates
 * to them and does for them, endpoints that fail, crash, restrict their load or are cut off, and other boxes that end.
 *
 * <p>A step that fails is printed and passed over, since it costs only classes that are missing in the archive.
 */
final class FleetRehearsal implements AutoCloseable {
    private static final List<String> PEERS = List.of("rehearsal-east", "rehearsal-west");
    private static final List<String> ROUTES = List.of("stream", "resumable", "staged", "once", "repeatable");
    private static final List<String> COLD_ROUTES = List.of("warming", "warming-plain");
    private static final String OWN_NAME = "rehearsal-";

    /** Names to choose the rehearsed box's from; one in twenty fits. */
    private static final int NAMES = 500;

    private static final long LINKED_MS = 8000;
    private static final long POLL_MS = 50;
    private static final int ROUNDS = 3;
    private static final int BURST = 40;

    /** Time for which a fault lasts, in ms. */
    private static final long FAULT_MS = 400;

    /** Time within which an endpoint that crashed serves again, in ms. */
    private static final long RESTARTED_MS = 700;

    private static final int CRASHES = 3;
    private static final long TIMEOUT_MS = 1500;
    private static final int EVENTS = 5;
    private static final int STAGE_MS = 20;
    private static final String EAST = "east";
    private static final String WEST = "west";

    private final FleetStandin fleet;
    private final Path folder;
    private final List<String> command;
    private final EndpointLinks links;
    private final String own;
    private final List<String> boxes = new ArrayList<>();
    private final List<Process> peers = new ArrayList<>();
    private final RehearsedCallers callers = new RehearsedCallers();
    private final WorkerStandin engine = new WorkerStandin("e2", EVENTS, 0);
    private final WorkerStandin plain = new WorkerStandin("p2", 0, 0);
    private final WorkerStandin first = new WorkerStandin("f2", 0, STAGE_MS);
    private final WorkerStandin second = new WorkerStandin("s2", 0, STAGE_MS);
    private final CrashLog crashes = new CrashLog();

    /** One part of the rehearsal. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException, BindException, InterruptedException;
    }

    /**
     * Creates a rehearsal with stand-ins that run.
     *
     * @param folder where the other boxes get their settings from
     * @param command starts a gateway when the file with its settings is added; empty to rehearse without other boxes
     */
    FleetRehearsal(FleetStandin fleet, Path folder, List<String> command) throws IOException, BindException {
        this.fleet = fleet;
        this.folder = folder;
        this.command = List.copyOf(command);
        this.links = fleet.linksOfOneBox();
        this.own = fleet.settings(ownName(), EAST, links);
        boxes.add(own);
        fleet.add("engine", WEST, "e2", engine);
        fleet.add("plain", WEST, "p2", plain);
        fleet.add("first", WEST, "f2", first);
        fleet.add("second", WEST, "s2", second);
        fleet.add("warming", EAST, "w1", new WorkerStandin("w1", EVENTS, 0));
        fleet.add("warming-plain", EAST, "wp1", new WorkerStandin("wp1", 0, 0));
    }

    /** Returns the settings of the gateway that is rehearsed. */
    String settings() {
        return own;
    }

    /** Returns a name with which the box coordinates a service of each kind for the others, and they another for it. */
    private static String ownName() {
        return IntStream.rangeClosed(1, NAMES)
                .mapToObj(number -> OWN_NAME + number)
                .filter(name -> coordinates(name, "first")
                        && coordinates(name, "warming")
                        && !coordinates(name, "second")
                        && !coordinates(name, "engine"))
                .findFirst()
                .orElse(OWN_NAME + 1);
    }

    private static boolean coordinates(String name, String service) {
        List<String> all = new ArrayList<>(PEERS);
        all.add(name);
        return RendezvousHash.top("pieces:" + service, all, 1).get(0).equals(name);
    }

    /** Starts the other boxes; the rehearsed one may start at the same time. */
    void startPeers() {
        if (!command.isEmpty()) {
            step("peers", () -> {
                startPeer(PEERS.get(0), EAST);
                startPeer(PEERS.get(1), WEST);
            });
        }
    }

    private void startPeer(String name, String failureDomain) throws IOException {
        String settings = fleet.settings(name, failureDomain);
        Path file = folder.resolve(name + ".yaml");
        Files.writeString(file, settings);
        List<String> line = new ArrayList<>(command);
        line.addAll(List.of("--settings", file.toString()));
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".out").toFile());
        peers.add(builder.start());
        boxes.add(settings);
    }

    /** Runs all steps. */
    void run() {
        step("links", this::awaitLinks);
        step("rounds", () -> rounds(ROUNDS));
        step("burst", this::burst);
        step("refusals", this::refusals);
        step("resumed streams", this::resume);
        for (Behaviour behaviour : EnumSet.complementOf(EnumSet.of(Behaviour.ANSWERS))) {
            step("endpoints that behave as " + behaviour, () -> behave(behaviour));
        }
        step("statements", this::statements);
        step("cold endpoints", this::coldEndpoints);
        step("crashes", this::crash);
        for (Cut cut : List.of(Cut.SILENT, Cut.RESET)) {
            step("links cut as " + cut, () -> cut(cut));
        }
        step("evacuation", this::evacuate);
        step("store", this::storeFaults);
        step("peers that end", this::endPeers);
        step("operator", () -> {
            callers.shown(own, "/metrics");
            callers.shown(own, "/quarantine");
        });
    }

    private static void step(String name, Step step) {
        long beganNs = System.nanoTime();
        try {
            step.run();
            System.out.println(name + ": " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs) + " ms");
        } catch (IOException | BindException | RuntimeException e) {
            System.out.println(name + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitLinks() {
        String linked = "wingstall_peers_heard " + peers.size() + ".0";
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LINKED_MS);
        while (System.nanoTime() < untilNs && !callers.shown(own, "/metrics").contains(linked)) {
            pause(POLL_MS);
        }
    }

    private void rounds(int rounds) {
        for (int round = 0; round < rounds; round++) {
            callers.sendRound(boxes, ROUTES);
        }
    }

    /** More requests at the same time than the pools of the stages serve in time. */
    private void burst() {
        List<HttpRequest.Builder> requests = new ArrayList<>();
        for (int i = 0; i < BURST; i++) {
            boxes.forEach(box -> requests.add(callers.request(box, "staged", callers.nextId())));
        }
        callers.sendAll(requests);
    }

    private void refusals() {
        callers.sendAll(List.of(
                callers.request(own, "no-such-route", callers.nextId()),
                callers.request(own, "foreign", callers.nextId()).setHeader("X-Api-Key", FleetStandin.BOUND_KEY),
                callers.request(own, "homed", callers.nextId()).setHeader("X-Api-Key", FleetStandin.BOUND_KEY),
                callers.request(own, "once", callers.nextId()).setHeader("X-Api-Key", "nobody's"),
                callers.request(own, "once", callers.nextId()).setHeader("X-Wingstall-Deadline-Ms", "soon"),
                callers.request(own, "once", callers.nextId()).setHeader("X-Wingstall-Deadline-Ms", "1"),
                callers.request(own, "staged", callers.nextId()).setHeader("X-Wingstall-Pieces", "many"),
                callers.request(own, "versioned", callers.nextId()),
                callers.request(own, "once", callers.nextId()).GET()));
    }

    private void resume() {
        List<HttpRequest.Builder> requests = new ArrayList<>();
        for (String box : boxes) {
            String id = callers.nextId();
            callers.sendAll(List.of(callers.request(box, "resumable", id)));
            boxes.forEach(other -> requests.add(
                    CallerRequests.resuming(callers.request(other, "resumable", callers.nextId()), id, 2)));
        }
        requests.add(CallerRequests.resuming(callers.request(own, "resumable", callers.nextId()), "unknown", 2));
        callers.sendAll(requests);
    }

    private void behave(Behaviour behaviour) {
        for (WorkerStandin worker : List.of(engine, plain, first, second)) {
            worker.behave(behaviour);
        }
        rounds(1);
        callers.sendAll(ROUTES.stream().map(this::requestInHaste).toList());
        for (WorkerStandin worker : List.of(engine, plain, first, second)) {
            worker.behave(Behaviour.ANSWERS);
        }
        rounds(1);
    }

    /** Returns a request whose deadline passes while its caller waits. */
    private HttpRequest.Builder requestInHaste(String route) {
        return callers.request(own, route, callers.nextId())
                .setHeader("X-Wingstall-Deadline-Ms", Long.toString(FAULT_MS / 2));
    }

    private void statements() {
        second.loseInputs(2);
        engine.shed("1");
        plain.shed("1");
        rounds(1);
        engine.takeRequests();
        plain.takeRequests();
        engine.limit("4", 4);
        plain.limit("4", 4);
        rounds(2);
        engine.clearLimit();
        plain.clearLimit();
        first.limit("soon", 0);
        plain.turnBrittle(new BrittleRoom(1, STAGE_MS, 2));
        rounds(2);
        first.clearLimit();
        plain.turnBrittle(null);
    }

    private void coldEndpoints() throws BindException {
        String engineAddress = fleet.start(new WorkerStandin("w2", EVENTS, 0));
        fleet.list("warming", EAST, "w2", engineAddress, "ready", FleetStandin.COLD_START_MS);
        String plainAddress = fleet.start(new WorkerStandin("wp2", 0, 0));
        fleet.list("warming-plain", EAST, "wp2", plainAddress, "ready", FleetStandin.COLD_START_MS);
        pause(FAULT_MS / 2);
        for (int round = 0; round < 2; round++) {
            callers.sendRound(boxes, COLD_ROUTES);
        }
        engine.leave();
        rounds(1);
    }

    private void crash() throws BindException {
        for (int i = 0; i < CRASHES; i++) {
            start("engine", "ce" + i, EVENTS);
            start("plain", "cp" + i, 0);
            start("fragile", "cf" + i, 0);
            start("prompted", "cr" + i, 0);
        }
        pause(FAULT_MS / 2);
        for (int i = 0; i < CRASHES; i++) {
            List<HttpRequest.Builder> requests = new ArrayList<>();
            for (String box : boxes) {
                List<String> prompt = List.of(CrashingEndpoint.CRASHING_PART, callers.nextId());
                requests.add(callers.requestWithBody(box, "fragile", CrashingEndpoint.CRASH));
                requests.add(callers.requestWithBody(box, "resumable", CrashingEndpoint.CRASH));
                requests.add(CallerRequests.withPrompt(callers.request(box, "prompted", callers.nextId()), prompt));
                requests.add(callers.request(box, "once", callers.nextId()));
            }
            callers.sendAll(requests);
            pause(RESTARTED_MS);
        }
    }

    private void start(String service, String name, int events) throws BindException {
        new CrashingEndpoint(fleet, crashes, new CrashingEndpoint.Kind(service, EAST, name, events)).start();
    }

    private void cut(Cut cut) throws IOException {
        links.cut(cut);
        rounds(2);
        pause(FAULT_MS / 2);
        rounds(1);
        links.heal();
        pause(FAULT_MS / 2);
        rounds(1);
    }

    private void evacuate() {
        fleet.store().put("op", "evacuate/" + WEST, "{}");
        pause(FAULT_MS);
        rounds(1);
        fleet.store().remove("op", "evacuate/" + WEST);
        fleet.store()
                .put("boxes", "gone", "{\"failureDomain\":\"west\",\"capacity\":1,\"peerAddress\":\"127.0.0.1:9\"}");
    }

    private void storeFaults() {
        for (StoreStandin.Mode mode : List.of(StoreStandin.Mode.BUSY, StoreStandin.Mode.RESET)) {
            fleet.store().mode(mode);
            pause(FAULT_MS);
            fleet.store().mode(StoreStandin.Mode.SERVING);
        }
        fleet.store().copy();
        fleet.store().restore();
        fleet.configure(2, TIMEOUT_MS);
        pause(FAULT_MS);
        rounds(1);
    }

    /** One box is killed and the other stops as planned, while requests arrive. */
    private void endPeers() {
        if (peers.isEmpty()) {
            return;
        }
        peers.get(0).destroyForcibly();
        boxes.remove(1);
        rounds(2);
        pause(2 * FAULT_MS);
        rounds(1);
        peers.get(1).destroy();
        boxes.remove(1);
        rounds(2);
    }

    private static void pause(long ms) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    /** Ends the other boxes. */
    @Override
    public void close() {
        peers.forEach(Process::destroyForcibly);
    }
}
