package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.CrashingEndpoint;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashingRun;

/** Requests that share a prompt part which crashes endpoints, but nothing else, were sent to one endpoint after another. */
public class RelayCrashingPartTest {
    private static final int ENDPOINTS = 8;

    /** Crashed endpoints after which the part has to be known, and the requests that may still be sent later than that. */
    private static final int CRASHES = 5;

    private static final int LATER_SENDINGS = 3;

    /** Time after the fifth crash from which requests count, in ms. */
    private static final long CONTACT_MS = 3000;

    private static final long PLAYED_MS = 10_000;
    private static final long CRASHING_PAUSE_MS = 125;
    private static final long SOUND_PAUSE_MS = 50;
    private static final int SOUND_CALLERS = 6;
    private static final long READ_DELAY_MS = 400;
    private static final String SYSTEM = "5957";
    private static final int OK = 200;

    private final AtomicInteger ids = new AtomicInteger();
    private final Queue<SoundCall> soundCalls = new ConcurrentLinkedQueue<>();
    private CrashingFleet fleet;
    private ExecutorService callers;
    private AtomicBoolean over;

    /** A request without the crashing part; without an answer when its connection ended. */
    private record SoundCall(long sentAtMs, Optional<RelayBox.Reply> reply) {
        boolean served() {
            return reply.isPresent() && reply.get().status() == OK;
        }
    }

    @BeforeMethod
    public void start() throws Exception {
        fleet = new CrashingFleet(ENDPOINTS);
        soundCalls.clear();
        over = new AtomicBoolean();
        callers = Executors.newCachedThreadPool();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        over.set(true);
        callers.shutdownNow();
        fleet.close();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private String nextId() {
        return "request-" + ids.incrementAndGet();
    }

    private RelayBox nextBox() {
        return fleet.boxes()
                .get(ThreadLocalRandom.current().nextInt(fleet.boxes().size()));
    }

    /** Returns the parts of a prompt, the last one being the request's own. */
    private List<String> prompt(String... shared) {
        List<String> parts = new ArrayList<>(Arrays.asList(shared));
        parts.add("0a" + ids.incrementAndGet());
        return parts;
    }

    private void callWithCrashingPart(String route, List<String> shared) {
        RelayBox box = nextBox();
        List<String> parts = prompt(shared.toArray(String[]::new));
        callers.execute(() -> box.postPrompt(route, nextId(), parts));
    }

    private void repeatCrashingPart(String route, List<String> shared, long forMs) {
        long untilMs = nowMs() + forMs;
        while (nowMs() < untilMs) {
            callWithCrashingPart(route, shared);
            Pauses.ofMs(CRASHING_PAUSE_MS);
        }
    }

    private void startSoundCallers(String route) {
        for (int i = 0; i < SOUND_CALLERS; i++) {
            String subject = "50" + i % 3;
            callers.execute(() -> {
                while (!over.get()) {
                    long sentAtMs = nowMs();
                    soundCalls.add(
                            new SoundCall(sentAtMs, nextBox().postPrompt(route, nextId(), prompt(SYSTEM, subject))));
                    Pauses.ofMs(SOUND_PAUSE_MS);
                }
            });
        }
    }

    private void assertHeldBack() {
        List<CrashingRun> later = fleet.runsLaterThan(fleet.crashedAtMs(CRASHES) + CONTACT_MS);
        assertTrue(later.size() <= LATER_SENDINGS, fleet.crashed() + " crashed; sent later: " + later);
        assertTrue(fleet.crashed() > 0, "no endpoint crashed");
    }

    /** Returns when requests without the part must be served again, in ms. */
    private long soundFromMs() {
        return fleet.crashedAtMs((int) Math.min(CRASHES, fleet.crashed())) + 2 * CONTACT_MS;
    }

    /** Plays long enough to see requests without the part after the last crash that counts. */
    private void playOn(String route, List<String> shared) {
        repeatCrashingPart(route, shared, PLAYED_MS);
        while (nowMs() < soundFromMs() + CONTACT_MS) {
            repeatCrashingPart(route, shared, CRASHING_PAUSE_MS);
        }
    }

    /** From twice the time after the last crash that counts, nothing disturbs requests without the part. */
    private void assertSoundRequestsServed() {
        long fromMs = soundFromMs();
        List<SoundCall> counted =
                soundCalls.stream().filter(call -> call.sentAtMs() > fromMs).toList();
        assertTrue(counted.size() >= 20, "only " + counted.size());
        assertEquals(counted.stream().filter(call -> !call.served()).toList(), List.of());
    }

    @DataProvider
    Object[][] routesAndPlaces() {
        return new Object[][] {
            {"stream", List.of(SYSTEM, CrashingEndpoint.CRASHING_PART)},
            {"stream", List.of(CrashingEndpoint.CRASHING_PART, SYSTEM)},
            {"resumable", List.of(SYSTEM, CrashingEndpoint.CRASHING_PART, "6b1d")},
            {"once", List.of(SYSTEM, CrashingEndpoint.CRASHING_PART)},
            {"repeatable", List.of(SYSTEM, CrashingEndpoint.CRASHING_PART)}
        };
    }

    @Test(dataProvider = "routesAndPlaces")
    public void aPartThatCrashesItsEndpointsIsHeldBackAtEveryBox(String route, List<String> shared) {
        fleet.awaitLinks();
        startSoundCallers(route);
        playOn(route, shared);
        assertHeldBack();
        assertSoundRequestsServed();
    }

    @Test
    public void aBoxThatStartsLaterHoldsThePartBack() throws Exception {
        fleet.awaitLinks();
        startSoundCallers("stream");
        repeatCrashingPart("stream", List.of(SYSTEM, CrashingEndpoint.CRASHING_PART), CONTACT_MS);
        long before = fleet.crashed();
        RelayBox late = fleet.startBox("late");
        for (int i = 0; i < 2 * LATER_SENDINGS; i++) {
            late.postPrompt("stream", nextId(), prompt(SYSTEM, CrashingEndpoint.CRASHING_PART));
        }
        assertEquals(fleet.crashed(), before);
    }

    @Test
    public void aPartIsHeldBackAfterAllBoxesHaveStartedAnew() throws Exception {
        fleet.awaitLinks();
        List<String> shared = List.of(SYSTEM, CrashingEndpoint.CRASHING_PART);
        repeatCrashingPart("stream", shared, CONTACT_MS);
        int boxes = fleet.boxes().size();
        fleet.closeBoxes();
        for (int i = 0; i < boxes; i++) {
            fleet.startBox("box-" + i);
        }
        startSoundCallers("stream");
        repeatCrashingPart("stream", shared, PLAYED_MS);
        assertHeldBack();
    }

    /** Callers connect while a box starts, and it read what is held later than what it needs to serve. */
    @Test
    public void aBoxThatStartsKnowsWhatIsHeldBeforeItTakesCallers() throws Exception {
        fleet.awaitLinks();
        List<String> shared = List.of(SYSTEM, CrashingEndpoint.CRASHING_PART);
        repeatCrashingPart("stream", shared, CONTACT_MS);
        long before = fleet.crashed();
        fleet.closeBoxes();
        fleet.standin().store().delayReads("crashes", READ_DELAY_MS);
        RelayBox starting = fleet.startBoxWithoutWaiting("starting");
        Optional<RelayBox.Reply> reply =
                starting.postPrompt("stream", nextId(), prompt(SYSTEM, CrashingEndpoint.CRASHING_PART));
        assertEquals(reply.orElseThrow().status(), 503);
        assertEquals(fleet.crashed(), before);
    }

    /** Boxes that never hear each other, but reach the store. */
    @Test
    public void aPartIsHeldBackByBoxesThatAreCutOffFromEachOther() throws Exception {
        int boxes = fleet.boxes().size();
        fleet.closeBoxes();
        fleet.standin().store().hide("boxes");
        for (int i = 0; i < boxes; i++) {
            fleet.startBox("cut-" + i);
        }
        startSoundCallers("stream");
        playOn("stream", List.of(SYSTEM, CrashingEndpoint.CRASHING_PART));
        assertHeldBack();
        assertSoundRequestsServed();
    }
}
