package org.wingstall.it.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.wingstall.it.harness.Pauses;
import org.wingstall.net.http.HttpCall;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.StatementLog;
import org.wingstall.standin.fleet.WorkerStandin;

/** Boxes and two endpoints of each service, one of which is under test. Identifiers of requests name their box. */
final class RelayStatementFleet implements AutoCloseable {
    private static final long PAUSE_MS = 40;
    private static final String BOX_END = "~";

    private final AtomicInteger ids = new AtomicInteger();
    private final List<RelayBox> boxes = new ArrayList<>();
    private final StatementLog log = new StatementLog(RelayStatementFleet::boxOf);
    private final FleetStandin fleet = new FleetStandin();
    private final String service;
    private final String address;
    private final WorkerStandin tested;
    private final WorkerStandin other;

    RelayStatementFleet(String service, int boxCount) throws Exception {
        this.service = service;
        fleet.configure(1, 3000);
        for (String each : List.of("engine", "plain", "first", "second")) {
            if (!each.equals(service)) {
                fleet.add(each, "east", each + "-only", worker(each, each + "-only"));
            }
        }
        other = worker(service, "other");
        fleet.add(service, "east", "other", other);
        tested = worker(service, "tested");
        address = fleet.add(service, "east", "tested", tested);
        for (int i = 0; i < boxCount; i++) {
            boxes.add(new RelayBox(fleet, "statement-" + i));
        }
        boxes.forEach(RelayBox::awaitReady);
    }

    private WorkerStandin worker(String each, String name) {
        return new WorkerStandin(name, each.equals("engine") ? 5 : 0, 20).recordIn(log);
    }

    /** Calls for pieces name no request of theirs; one box sends them all. */
    private static String boxOf(HttpCall call) {
        String id = WorkerStandin.requestId(call);
        return id == null ? "pieces" : id.substring(0, id.indexOf(BOX_END));
    }

    /** Returns routes, the service whose endpoint is under test, and the number of boxes. */
    static Object[][] routes() {
        return new Object[][] {
            {"resumable", "engine", 1},
            {"stream", "engine", 1},
            {"resumable", "engine", 3},
            {"repeatable", "plain", 1},
            {"once", "plain", 3},
            {"staged", "engine", 1},
            {"staged", "first", 1},
            {"staged", "second", 1},
        };
    }

    StatementLog log() {
        return log;
    }

    FleetStandin platform() {
        return fleet;
    }

    WorkerStandin tested() {
        return tested;
    }

    WorkerStandin other() {
        return other;
    }

    RelayBox box() {
        return boxes.get(0);
    }

    /** Starts a further endpoint of the service in another failure domain, and waits until it gets requests. */
    void addElsewhere(String failureDomain, String name) throws Exception {
        fleet.add(service, failureDomain, name, worker(service, name));
        Awaitility.await().until(() -> {
            send("repeatable").join();
            return !log.arrivals(name, 0).isEmpty();
        });
    }

    void listTested() {
        listTested("ready");
    }

    void listTested(String state) {
        fleet.list(service, "east", "tested", address, state);
    }

    void unlistTested() {
        fleet.store().remove("servers", "tested");
    }

    static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    CompletableFuture<RelayBox.Reply> send(String route) {
        int id = ids.incrementAndGet();
        int box = id % boxes.size();
        return boxes.get(box).postAsync(route, box + BOX_END + id);
    }

    /** Sends requests to one box after the other for some time, and returns their answers. */
    List<RelayBox.Reply> sendFor(String route, long forMs) {
        List<CompletableFuture<RelayBox.Reply>> replies = new ArrayList<>();
        long untilMs = nowMs() + forMs;
        while (nowMs() < untilMs) {
            replies.add(send(route));
            Pauses.ofMs(PAUSE_MS);
        }
        return replies.stream().map(CompletableFuture::join).toList();
    }

    /** Waits until the endpoint under test gets requests. */
    void awaitUsed(String route) {
        long fromMs = nowMs();
        Awaitility.await().until(() -> {
            send(route).join();
            return !log.arrivals("tested", fromMs).isEmpty();
        });
    }

    @Override
    public void close() {
        boxes.forEach(RelayBox::close);
        fleet.close();
    }
}
