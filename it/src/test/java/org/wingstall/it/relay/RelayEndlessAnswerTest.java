package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.EndlessEndpoint;
import org.wingstall.standin.fleet.EndlessEndpoint.Kind;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;
import org.wingstall.standin.fleet.WorkerStandin;

/** Endpoints whose answers had no end filled the memory of a box, or kept a request until its deadline. */
public class RelayEndlessAnswerTest {
    private static final long FAST = 50_000_000;
    private static final long SLOW = 2000;
    private static final long DEADLINE_MS = 1500;
    private static final long MARGIN_MS = 1000;

    /** Most bytes that a box may read of one answer, with those on the way. */
    private static final long READ_BYTES = 12_000_000;

    /** Most bytes of unfinished answers that a box may hold. */
    private static final double HELD_BYTES = 32 << 20;

    private static final int AT_ONCE = 20;
    private static final Set<Kind> EVENTS = EnumSet.of(Kind.EVENT_LINE, Kind.EVENT_LINES);

    private FleetStandin fleet;
    private EndlessEndpoint endless;
    private RelayBox box;

    private void start(Kind kind, long bytesPerSecond, String service) throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, DEADLINE_MS);
        endless = new EndlessEndpoint(kind, bytesPerSecond);
        for (String each : List.of("engine", "plain", "first", "second")) {
            if (each.equals(service)) {
                fleet.list(each, "east", "endless", endless.address(), "ready");
            } else {
                fleet.add(each, "east", each + "-sound", new WorkerStandin(each, each.equals("engine") ? 5 : 0, 20));
            }
        }
        box = new RelayBox(fleet, "endless").awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        box.close();
        endless.close();
        fleet.close();
    }

    @DataProvider
    Object[][] wholeAnswers() {
        return EnumSet.complementOf(EnumSet.copyOf(EVENTS)).stream()
                .flatMap(kind -> Stream.of(FAST, SLOW).map(rate -> new Object[] {kind, rate}))
                .toArray(Object[][]::new);
    }

    private HttpRequest request(String route, String id) {
        return box.request(route, id)
                .setHeader("X-Wingstall-Deadline-Ms", Long.toString(DEADLINE_MS))
                .timeout(Duration.ofMillis(DEADLINE_MS + MARGIN_MS))
                .build();
    }

    private List<RelayBox.Reply> sendAll(String route, int count) {
        List<CompletableFuture<RelayBox.Reply>> replies = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            replies.add(RelayBox.sendAsync(request(route, route + "-" + i)));
        }
        return replies.stream().map(CompletableFuture::join).toList();
    }

    private void assertClosedEarly() {
        Awaitility.await().atMost(Duration.ofMillis(MARGIN_MS)).until(() -> endless.open() == 0);
        assertTrue(
                endless.written().stream().allMatch(bytes -> bytes < READ_BYTES),
                endless.written().toString());
    }

    /** Bytes after a whole answer belong to no request, so that one is served. */
    @Test(dataProvider = "wholeAnswers")
    public void anAnswerWithoutEndIsAFailureAndIsNotReadOn(Kind kind, long bytesPerSecond) throws Exception {
        start(kind, bytesPerSecond, "plain");
        boolean whole = kind == Kind.PAST_LENGTH;
        for (RelayBox.Reply reply : sendAll("once", 2)) {
            assertEquals(reply.status() == 200, whole, reply.toString());
            assertNotEquals(reply.status(), 503, "the endpoint may have run it");
        }
        assertClosedEarly();
    }

    @DataProvider
    Object[][] stagesAndStreams() {
        return new Object[][] {
            {Kind.CHUNKS, "first", "staged"},
            {Kind.INTERIM_ANSWERS, "first", "staged"},
            {Kind.EMPTY_LINES, "first", "staged"},
            {Kind.CHUNKS, "engine", "stream"},
            {Kind.INTERIM_ANSWERS, "engine", "resumable"},
        };
    }

    @Test(dataProvider = "stagesAndStreams")
    public void answersOfStagesAndEnginesAreNotReadOn(Kind kind, String service, String route) throws Exception {
        start(kind, FAST, service);
        sendAll(route, 2).forEach(reply -> assertNotEquals(reply.status(), 200, reply.toString()));
        assertClosedEarly();
    }

    @DataProvider
    Object[][] events() {
        return EVENTS.stream()
                .flatMap(kind -> Stream.of("stream", "resumable").map(route -> new Object[] {kind, route}))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "events")
    public void aStreamWhoseEventHasNoEndIsBrokenOff(Kind kind, String route) throws Exception {
        start(kind, FAST, "engine");
        PartialAnswer answer = RelayBox.sendPartially(request(route, route + "-1"));
        assertEquals(answer.whole(), false);
        assertClosedEarly();
    }

    @Test
    public void manyAnswersAtOnceAreHeldWithinABound() throws Exception {
        start(Kind.CHUNKS, FAST, "plain");
        List<CompletableFuture<Integer>> statuses = IntStream.range(0, AT_ONCE)
                .mapToObj(i -> RelayBox.sendAsync(request("repeatable", "many-" + i))
                        .handle((reply, closed) -> closed == null ? reply.status() : 0))
                .toList();
        double most = 0;
        while (!statuses.stream().allMatch(CompletableFuture::isDone)) {
            most = Math.max(most, heldBytes());
        }
        assertTrue(most <= HELD_BYTES, most + " bytes");
        assertFalse(statuses.stream().map(CompletableFuture::join).anyMatch(status -> status == 200));
        assertClosedEarly();
        assertEquals(heldBytes(), 0.0);
    }

    private double heldBytes() {
        return box.metrics()
                .lines()
                .filter(line -> line.startsWith("wingstall_answers_held_bytes "))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
                .findFirst()
                .orElseThrow();
    }
}
