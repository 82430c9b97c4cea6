package org.wingstall.it.relay;

import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.wingstall.standin.fleet.CrashingEndpoint;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashLog;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashingRun;
import org.wingstall.standin.fleet.CrashingEndpoint.Kind;
import org.wingstall.standin.fleet.FleetStandin;

/** Gateways in this process, and engines and plain endpoints that requests can crash. */
final class CrashingFleet implements AutoCloseable {
    private static final int BOXES = 3;
    private static final long TIMEOUT_MS = 3000;

    private final FleetStandin fleet;
    private final CrashLog crashes = new CrashLog();
    private final List<RelayBox> boxes = new ArrayList<>();

    /** Starts three boxes, and so many endpoints of each kind. */
    CrashingFleet(int endpoints) throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, TIMEOUT_MS);
        for (int i = 0; i < endpoints; i++) {
            add("engine", "e" + i, 5);
            add("plain", "p" + i, 0);
        }
        for (int i = 0; i < BOXES; i++) {
            startBox("box-" + i);
        }
    }

    /** Starts an endpoint. */
    void add(String service, String name, int events) throws Exception {
        new CrashingEndpoint(fleet, crashes, new Kind(service, "east", name, events)).start();
    }

    RelayBox startBox(String id) throws Exception {
        return startBoxWithoutWaiting(id).awaitReady();
    }

    RelayBox startBoxWithoutWaiting(String id) throws Exception {
        RelayBox box = new RelayBox(fleet, id);
        boxes.add(box);
        return box;
    }

    FleetStandin standin() {
        return fleet;
    }

    List<RelayBox> boxes() {
        return boxes;
    }

    void awaitLinks() {
        String all = "wingstall_peers_heard " + (boxes.size() - 1) + ".0";
        Awaitility.await()
                .until(() -> boxes.stream().allMatch(box -> box.metrics().contains(all)));
    }

    List<CrashingRun> crashingRuns() {
        return crashes.runs();
    }

    /** Returns how many endpoints have crashed. */
    long crashed() {
        return crashes.ended();
    }

    /** Returns when so many endpoints had crashed, in ms of the steady clock; far in the future while they have not. */
    long crashedAtMs(int number) {
        List<String> ended = new ArrayList<>();
        for (CrashingRun run : crashes.runs()) {
            boolean another = !ended.contains(run.incarnation()) && ended.add(run.incarnation());
            if (another && ended.size() == number) {
                return run.atMs();
            }
        }
        return Long.MAX_VALUE / 2;
    }

    /** Returns the runs of requests that crash endpoints that began later than a time in ms of the steady clock. */
    List<CrashingRun> runsLaterThan(long atMs) {
        return crashes.runs().stream().filter(run -> run.atMs() > atMs).toList();
    }

    void closeBoxes() {
        boxes.forEach(RelayBox::close);
        boxes.clear();
    }

    @Override
    public void close() {
        closeBoxes();
        fleet.close();
    }
}
