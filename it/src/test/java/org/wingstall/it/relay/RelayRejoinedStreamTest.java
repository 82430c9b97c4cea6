package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.net.log.LogEvent;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.fleet.WorkerStandin.Behaviour;

/** Streams were joined from two versions after all boxes were killed at once, or refused as unknown though a box knew them. */
public class RelayRejoinedStreamTest {
    private static final Logger LOG = LogManager.getLogger(RelayRejoinedStreamTest.class);

    private static final int EVENTS = 400;
    private static final int STREAMS = 6;

    /** Time for which callers try again, in ms; the longest deadline of their requests is twice that. */
    private static final long TRIES_MS = 4000;

    private static final long OLD_LEAVES_AFTER_MS = 2000;

    private final Map<String, WorkerStandin> engines = new HashMap<>();
    private final List<ProcessBox> boxes = new ArrayList<>();
    private FleetStandin fleet;

    /** When the new version is listed. */
    private enum Change {
        BEFORE,
        WHILE_DOWN,
        AFTER
    }

    /** What becomes of the old version. */
    private enum Old {
        STAYS,
        LEAVES,
        LEAVES_LATER
    }

    @BeforeMethod
    public void start() throws Exception {
        engines.clear();
        boxes.clear();
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
        addEngine("old", "v1");
        Path folder = Files.createTempDirectory("rejoined");
        boxes.add(new ProcessBox(fleet, folder, "east-1", "east"));
        boxes.add(new ProcessBox(fleet, folder, "east-2", "east"));
        boxes.add(new ProcessBox(fleet, folder, "west-1", "west"));
        boxes.forEach(box -> box.awaitGauge("wingstall_peers_heard", boxes.size() - 1));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        boxes.forEach(ProcessBox::close);
        fleet.close();
    }

    private void addEngine(String name, String version) throws Exception {
        WorkerStandin engine = new WorkerStandin(name, EVENTS, 0).writeAs(version);
        engines.put(name, engine);
        fleet.listVersion("engine", "east", name, fleet.start(engine), "ready", version);
    }

    @DataProvider
    Object[][] losses() {
        List<Object[]> losses = new ArrayList<>();
        for (Change change : Change.values()) {
            for (Old old : Old.values()) {
                losses.add(new Object[] {change, old, true});
                losses.add(new Object[] {change, old, false});
            }
        }
        return losses.toArray(new Object[0][]);
    }

    @Test(dataProvider = "losses")
    public void aStreamIsNeverJoinedFromTwoVersions(Change change, Old old, boolean allKilled) throws Exception {
        if (change == Change.BEFORE) {
            addNewVersion();
        }
        List<ResumedStream> streams = beginAndKill(allKilled, change, old);
        if (change == Change.AFTER) {
            addNewVersion();
            removeOldIf(old == Old.LEAVES);
        }
        CompletableFuture<Void> leaving = CompletableFuture.runAsync(() -> {
            Pauses.ofMs(OLD_LEAVES_AFTER_MS);
            removeOldIf(old == Old.LEAVES_LATER);
        });
        resumeAll(streams);
        leaving.join();
        report(streams, change + " " + old + " " + (allKilled ? "all" : "east"));
        for (ResumedStream stream : streams) {
            assertEquals(stream.writers().size(), 1, stream.id() + " by " + stream.writers());
            assertTrue(stream.inOrder(), stream.id());
            stream.refusals().forEach(refusal -> assertTrue(ranNowhere(refusal.id()), refusal.toString()));
            assertTrue(!stream.wentOnAfterFinalRefusal(), stream.refusals().toString());
            boolean known = !allKilled && (old == Old.STAYS || stream.writers().contains("v2"));
            assertTrue(stream.whole() || !known, stream.refusals().toString());
        }
    }

    private void addNewVersion() throws Exception {
        addEngine("new", "v2");
    }

    private void removeOldIf(boolean leaves) {
        if (leaves) {
            fleet.store().remove("servers", "old");
        }
    }

    /** Half of the streams are broken off by their endpoint before the boxes are killed, the others by that. */
    private List<ResumedStream> beginAndKill(boolean allKilled, Change change, Old old) throws Exception {
        boxes.forEach(box -> box.awaitGauge("wingstall_endpoints_reached", engines.size()));
        List<ResumedStream> streams = new ArrayList<>();
        engines.values().forEach(engine -> engine.behave(Behaviour.CUTS_ANSWER));
        beginAll("cut", streams).join();
        engines.values().forEach(engine -> engine.behave(Behaviour.ANSWERS));
        int before = runs();
        CompletableFuture<Void> inFlight = beginAll("killed", streams);
        Awaitility.await().until(() -> runs() >= before + STREAMS);
        Pauses.ofMs(200);
        List<ProcessBox> lost = boxes.stream()
                .filter(box -> allKilled || box.failureDomain().equals("east"))
                .toList();
        lost.parallelStream().forEach(ProcessBox::kill);
        if (change == Change.WHILE_DOWN) {
            addNewVersion();
        }
        removeOldIf(old == Old.LEAVES && change != Change.AFTER);
        lost.parallelStream().forEach(ProcessBox::startAgain);
        inFlight.join();
        List<ResumedStream> broken =
                streams.stream().filter(ResumedStream::broken).toList();
        assertTrue(broken.size() > STREAMS, broken.size() + " streams broke off");
        return broken;
    }

    private int runs() {
        return engines.values().stream()
                .mapToInt(engine -> engine.runs().size())
                .sum();
    }

    private CompletableFuture<Void> beginAll(String name, List<ResumedStream> streams) {
        List<CompletableFuture<Void>> begun = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            ResumedStream stream = new ResumedStream(name + "-" + i, EVENTS);
            ProcessBox box = boxes.get(i % boxes.size());
            streams.add(stream);
            begun.add(inThread(() -> stream.begin(box)));
        }
        return CompletableFuture.allOf(begun.toArray(new CompletableFuture<?>[0]));
    }

    private void resumeAll(List<ResumedStream> streams) {
        List<CompletableFuture<Void>> resumed = new ArrayList<>();
        for (int i = 0; i < streams.size(); i++) {
            ResumedStream stream = streams.get(i);
            int first = i;
            resumed.add(inThread(() -> stream.resume(boxes, first, TRIES_MS)));
        }
        resumed.forEach(CompletableFuture::join);
    }

    private interface Step {
        void run() throws InterruptedException;
    }

    private static CompletableFuture<Void> inThread(Step step) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            try {
                step.run();
                done.complete(null);
            } catch (InterruptedException | RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return done;
    }

    private boolean ranNowhere(String id) {
        return engines.values().stream().noneMatch(engine -> engine.runs().stream()
                .anyMatch(run -> run.id().equals(id)));
    }

    private static void report(List<ResumedStream> streams, String name) {
        LogEvent.info("streams-resumed")
                .with("case", name)
                .with("streams", streams.size())
                .with("wentOn", streams.stream().filter(ResumedStream::whole).count())
                .with(
                        "refusals",
                        streams.stream().mapToInt(s -> s.refusals().size()).sum())
                .with(
                        "final",
                        streams.stream()
                                .flatMap(s -> s.refusals().stream())
                                .filter(ResumedStream.Refusal::isFinal)
                                .count())
                .with(
                        "versions",
                        streams.stream()
                                .collect(Collectors.groupingBy(s -> s.writers().toString(), Collectors.counting())))
                .to(LOG);
    }
}
