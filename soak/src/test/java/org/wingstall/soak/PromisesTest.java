package org.wingstall.soak;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.soak.CallRecord.Route;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashingRun;
import org.wingstall.standin.fleet.LimitLog;
import org.wingstall.standin.fleet.PartialAnswer;
import org.wingstall.standin.fleet.StatementLog;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.fleet.WorkerStandin.Arrival;

/** Each promise finds what breaks it, and nothing in a sound run. */
public class PromisesTest {
    private static final long DEADLINE_MS = Caller.DEADLINE_MS;

    private static final StatementLog.Pair BETWEEN = new StatementLog.Pair("plain-1", "box-1#1");

    private static CallRecord call(Route route, int status, String seal, String body, long sentMs, long endedMs) {
        return new CallRecord("a", route, "box-1", 1, sentMs, endedMs, status, "a", seal, body);
    }

    private static CallRecord versioned(String id, long version, long sentMs) {
        String seal = "seal-of-version-" + version + "-7";
        return new CallRecord(id, Route.VERSIONED, "box-1", 1, sentMs, sentMs + 5, 200, id, seal, "answer to " + id);
    }

    private static String event(int number, String version) {
        return "id: " + number + "\ndata: token " + number + " of a by " + version + "\n\n";
    }

    private static StreamTry streamTry(String streamId, int after, String body, boolean whole) {
        return new StreamTry(streamId, "box-1", 5000, 5005, after, new PartialAnswer(200, body, whole));
    }

    private static Arrival run() {
        return new Arrival("a", "plain-1", "/x", true, DEADLINE_MS);
    }

    private static void sendAfterLeaving(Observations seen) {
        seen.statements().toldLeaving(BETWEEN, 1000);
        seen.statements().arrived(new StatementLog.Arrival(BETWEEN, "a", 3001));
    }

    private static void sendWithinPause(Observations seen) {
        seen.statements().toldRest(new StatementLog.Rest(BETWEEN, 1500, 4000));
        for (long atMs = 2000; atMs < 2003; atMs++) {
            seen.statements().arrived(new StatementLog.Arrival(BETWEEN, "a", atMs));
        }
    }

    @DataProvider
    Object[][] breaches() {
        return new Object[][] {
            breach("own whole answer", seen -> seen.called(call(Route.ONCE, 200, "s", "answer to b", 0, 5))),
            breach("own whole answer", seen -> {
                String cut = WorkerStandin.streamOf("a", SoakFleet.EVENTS - 1);
                seen.called(call(Route.STREAM, 200, "s", cut, 0, 5));
            }),
            breach("own whole answer", seen -> seen.called(call(Route.ONCE, 200, null, "answer to a", 0, 5))),
            breach("at most one run", seen -> {
                seen.called(call(Route.ONCE, 502, null, "", 0, 5));
                seen.arrived(run());
                seen.arrived(run());
            }),
            breach("one run where nothing is at fault", seen -> {
                seen.called(call(Route.REPEATABLE, 200, "seal-of-plain-1", "answer to a", 0, 5));
                seen.arrived(run());
                seen.arrived(run());
            }),
            breach("true refusal", seen -> {
                seen.called(call(Route.ONCE, 503, null, "", 0, 5));
                seen.arrived(run());
            }),
            breach("no work for who stated that it leaves", PromisesTest::sendAfterLeaving),
            breach("a pause that an endpoint asked for", PromisesTest::sendWithinPause),
            breach("configuration in force", seen -> {
                seen.configured(1);
                seen.configured(2);
                seen.called(versioned("v9000", 1, 9000));
            }),
            breach("configuration never back", seen -> {
                seen.called(versioned("v0", 2, 0));
                seen.called(versioned("v900", 1, 900));
            }),
            breach("planned stop cuts nothing", seen -> {
                seen.disturbed(new Disturbance("box-1", "BOX_TERMINATE", true, 0, 100));
                seen.called(call(Route.ONCE, 0, null, "", 10, 20));
                seen.arrived(run());
            }),
            breach("retry budget", seen -> {
                for (int i = 0; i < SoakFleet.RETRY_EXTRA + 3; i++) {
                    seen.arrived(run());
                }
            }),
            breach("deadline passed on", seen -> {
                seen.called(call(Route.ONCE, 200, "s", "answer to a", 0, 5));
                seen.arrived(new Arrival("a", "plain-1", "/x", true, 2 * DEADLINE_MS));
            }),
            breach(
                    "answer by the deadline",
                    seen -> seen.called(call(Route.ONCE, 200, "s", "answer to a", 0, 2 * DEADLINE_MS))),
            breach("no process ends by itself", seen -> seen.endedByItself("box-1")),
        };
    }

    @DataProvider
    Object[][] breachesOfQuarantine() {
        return new Object[][] {
            breach("three losses and no more", seen -> {
                long zeroMs = -seen.soakMs(0);
                for (int i = 0; i < 7; i++) {
                    seen.repeated("r" + i, "box-1");
                    long atMs = i < 3 ? i : 10_000 + i;
                    seen.crashes().add(new CrashingRun("r" + i, zeroMs + atMs, "fragile-" + i));
                }
            }),
            breach("five losses of a part and no more", seen -> {
                long zeroMs = -seen.soakMs(0);
                for (int i = 0; i < 9; i++) {
                    seen.repeated("p" + i, "box-1");
                    long atMs = i < 5 ? i : 10_000 + i;
                    seen.partCrashes().add(new CrashingRun("p" + i, zeroMs + atMs, "prompted-" + i));
                }
            }),
            breach("sound prompts beside a crashing part", seen -> {
                long zeroMs = -seen.soakMs(0);
                seen.partCrashes().add(new CrashingRun("p", zeroMs, "prompted-1"));
                seen.called(call(Route.REPEATABLE, 200, "seal-of-plain-1", "answer to a", 0, 5));
                for (int i = 0; i < 20; i++) {
                    seen.promptCalled(new PromptCall("box-1", 10_000, 10_005, i % 3 == 0));
                }
            }),
        };
    }

    @Test(dataProvider = "breachesOfQuarantine")
    public void aBreachOfTheQuarantineIsFound(String promise, Consumer<Observations> events) {
        aBreachIsFound(promise, events);
    }

    @DataProvider
    Object[][] breachesOfPlacing() {
        return new Object[][] {
            breach("no more than an endpoint takes", seen -> {
                seen.limits().stated("plain-1", 0.3, 0);
                for (int i = 0; i < 7; i++) {
                    seen.limits().arrived("plain-1", "a" + i, 3000);
                }
            }),
            breach("no more than a cold endpoint bears", seen -> {
                seen.cold().stated("warming-plain-1", 1, 0);
                seen.cold().arrived("warming-plain-1", "a", 10);
                seen.cold().arrived("warming-plain-1", "b", 900);
            }),
            breach("no more than one that turned cold bears", seen -> {
                seen.coldAgain().stated("warming-plain-1", 1, 0);
                seen.coldAgain().arrived("warming-plain-1", "a", 3010);
                seen.coldAgain().arrived("warming-plain-1", "b", 3900);
            }),
            breach("a caller's request", seen -> seen.arrived(new Arrival(null, "plain-1", "/x", true, DEADLINE_MS))),
            breach("no work for who is evacuated", seen -> {
                seen.placed("plain-1", "east");
                seen.evacuated(new Evacuation("east", -Promises.EVACUATION_MS - 1, Long.MAX_VALUE));
                seen.called(call(Route.ONCE, 200, "seal-of-plain-1", "answer to a", 0, 5));
                seen.arrived(run());
            }),
            breach("brittle endpoints seldom fall", seen -> {
                seen.brittle(new BrittleSpan(Set.of("plain-1"), 2, 0, Long.MAX_VALUE));
                for (int i = 0; i < 9; i++) {
                    String id = "rejected-" + i;
                    seen.called(new CallRecord(id, Route.ONCE, "box-1", 1, 10, 20, 503, null, null, ""));
                    seen.arrived(new Arrival(id, "plain-1", "/once/x", false, DEADLINE_MS));
                }
            }),
            breach("boxes without links serve like others", seen -> {
                seen.linksCut(new LinkCut(Set.of("box-1"), -LinkCutPromise.SERVED_AGAIN_MS - 1, Long.MAX_VALUE));
                for (int i = 0; i < 20; i++) {
                    String cut = "cut-" + i;
                    String other = "other-" + i;
                    seen.called(new CallRecord(cut, Route.ONCE, "box-1", 1, 10, 20, 503, cut, null, ""));
                    seen.called(new CallRecord(
                            other,
                            Route.ONCE,
                            "box-2",
                            1,
                            10,
                            20,
                            200,
                            other,
                            "seal-of-plain-1",
                            "answer to " + other));
                    seen.arrived(new Arrival(other, "plain-1", "/once/x", true, DEADLINE_MS));
                }
            }),
        };
    }

    @Test(dataProvider = "breachesOfPlacing")
    public void aBreachOfPlacingIsFound(String promise, Consumer<Observations> events) {
        aBreachIsFound(promise, events);
    }

    @DataProvider
    Object[][] breachesOfStreams() {
        return new Object[][] {
            breach("own whole answer", seen -> {
                String mixed = event(1, "v1") + event(2, "v2");
                seen.called(call(Route.STREAM, 200, "s", mixed, 0, 5));
            }),
            breach("one whole stream of one version", seen -> {
                seen.streamTried(streamTry("a", 0, event(1, "v1"), false));
                seen.streamTried(streamTry("a", 1, event(2, "v2"), false));
            }),
            breach("one whole stream of one version", seen -> {
                seen.streamTried(streamTry("a", 0, event(1, "v1"), false));
                seen.streamTried(streamTry("a", 1, event(3, "v1"), false));
            }),
            breach("one whole stream of one version", seen -> {
                seen.streamTried(streamTry("a", 0, event(1, "v1"), true));
            }),
            breach("streams go on", seen -> {
                for (int i = 0; i < 12; i++) {
                    seen.streamTried(streamTry("s" + i, 0, event(1, "v1"), false));
                    seen.streamTried(streamTry("s" + i, 1, i < 5 ? event(2, "v1") : "", false));
                }
            }),
        };
    }

    @Test(dataProvider = "breachesOfStreams")
    public void aBreachOfStreamsIsFound(String promise, Consumer<Observations> events) {
        aBreachIsFound(promise, events);
    }

    private static Object[] breach(String promise, Consumer<Observations> events) {
        return new Object[] {promise, events};
    }

    @Test(dataProvider = "breaches")
    public void aBreachIsFound(String promise, Consumer<Observations> events) {
        Observations seen = new Observations();
        events.accept(seen);
        List<String> broken = Promises.all(0).stream()
                .filter(one -> !one.broken(seen).isEmpty())
                .map(Promise::name)
                .toList();
        assertEquals(broken, List.of(promise));
    }

    @Test
    public void aSoundRunBreaksNothing() {
        Observations seen = new Observations();
        seen.configured(1);
        seen.arrived(run());
        seen.called(call(Route.ONCE, 200, "seal-of-plain-1", "answer to a", 0, 5));
        seen.called(versioned("v9000", 1, 9000));
        Promises.all(0).forEach(one -> assertEquals(one.broken(seen), List.of(), one.name()));
    }

    @DataProvider
    Object[][] disturbances() {
        return new Object[][] {
            {Disturbance.STORE, 7001, false},
            {Disturbance.STORE, 6999, true},
            {"box-1", 7001, false},
            {"box-1", 6999, true},
            {"box-2", 9999, true},
        };
    }

    /** Boxes that could not read the store were held to what an endpoint had written there meanwhile. */
    @Test(dataProvider = "disturbances")
    public void requestsAtAnEndpointThatTurnedColdCountForBoxesInTouch(String target, long untilMs, boolean counts) {
        Observations seen = new Observations();
        long zeroMs = -seen.soakMs(0);
        seen.disturbed(new Disturbance(target, "STORE_BUSY", false, 5000, untilMs));
        seen.coldAgain().stated("warming-plain-1", 1, zeroMs + 6500);
        for (String id : List.of("a", "b")) {
            seen.called(new CallRecord(id, Route.WARMING, "box-1", 1, 10_000, 10_005, 200, id, "s", "answer to " + id));
            seen.coldAgain().arrived("warming-plain-1", id, zeroMs + 10_000);
        }
        List<String> broken = Promises.all(0).stream()
                .filter(one -> !one.broken(seen).isEmpty())
                .map(Promise::name)
                .toList();
        assertEquals(broken, counts ? List.of("no more than one that turned cold bears") : List.of());
    }

    /** When connections fell silent, when the next version came, when a request met the old one, and whether it counts. */
    @DataProvider
    Object[][] silences() {
        return new Object[][] {
            {10_000, 9000, 12_999, false},
            {10_000, 9000, 13_001, true},
            {10_000, 10_500, 13_000, false},
            {10_000, 10_500, 13_001, true},
            {10_000, 12_000, 14_000, false},
            {10_000, 12_000, 14_001, true},
            {10_000, 14_000, 16_000, false},
            {10_000, 14_000, 16_001, true},
            {15_000, 10_000, 12_001, true},
        };
    }

    /** A box whose waiting call had fallen silent kept an old configuration, which counted as excused by the silence. */
    @Test(dataProvider = "silences")
    public void aVersionIsInForceSoonAfterConnectionsFellSilent(
            long silentMs, long versionMs, long sentMs, boolean counts) {
        Observations seen = new Observations();
        seen.disturbed(new Disturbance("box-1", SilentConnections.STORE_WAY, false, silentMs, silentMs));
        seen.versionSinceMs().put(1L, 0L);
        seen.versionSinceMs().put(2L, versionMs);
        seen.called(versioned("v", 1, sentMs));
        List<String> broken = Promises.all(0).stream()
                .filter(one -> !one.broken(seen).isEmpty())
                .map(Promise::name)
                .toList();
        assertEquals(broken, counts ? List.of("configuration in force") : List.of());
    }

    /** Any other fault excuses the box as before. */
    @Test
    public void silenceBesideAnotherFaultExcusesABox() {
        Observations seen = new Observations();
        seen.disturbed(new Disturbance("box-1", SilentConnections.STORE_WAY, false, 10_000, 10_000));
        seen.disturbed(new Disturbance("box-1", "BOX_PAUSE", false, 8000, 8500));
        seen.versionSinceMs().put(1L, 0L);
        seen.versionSinceMs().put(2L, 10_500L);
        seen.called(versioned("v", 1, 14_000));
        Promises.all(0).forEach(one -> assertEquals(one.broken(seen), List.of(), one.name()));
    }

    /** Which boxes are cut off, until when, and whether a request that breaks off at 8000 ms counts. */
    @DataProvider
    Object[][] linkCuts() {
        return new Object[][] {{"box-1", 7000, false}, {"box-1", 4000, true}, {"box-2", 9000, true}};
    }

    /** A cut of a box's links that broke a stream was taken for the reload beside it. */
    @Test(dataProvider = "linkCuts")
    public void aPlannedStopIsNoCauseWhereTheLinksToEndpointsWereCut(String box, long untilMs, boolean counts) {
        Observations seen = new Observations();
        seen.disturbed(new Disturbance("box-1", "BOX_RELOAD", true, 7900, 8100));
        seen.linksCut(new LinkCut(Set.of(box), 1000, untilMs));
        seen.called(call(Route.ONCE, 0, null, "", 7950, 8000));
        seen.arrived(run());
        List<String> broken = Promises.all(0).stream()
                .filter(one -> !one.broken(seen).isEmpty())
                .map(Promise::name)
                .toList();
        assertEquals(broken, counts ? List.of("planned stop cuts nothing") : List.of());
    }

    @Test
    public void aSeedAlwaysGivesTheSamePlan() {
        assertEquals(FaultPlan.of(7, 12_000), FaultPlan.of(7, 12_000));
    }

    /** Requests from before an endpoint stated a limit counted against it. */
    @Test
    public void requestsBeforeALimitWasStatedDoNotCount() {
        LimitLog log = new LimitLog();
        for (int i = 0; i < 7; i++) {
            log.arrived("plain-1", "before-" + i, 900);
        }
        log.stated("plain-1", 0, 1000);
        log.arrived("plain-1", "since", 4100);
        assertEquals(log.excesses(arrival -> true), List.of());
        for (int i = 0; i < 5; i++) {
            log.arrived("plain-1", "since-" + i, 4200);
        }
        assertEquals(log.excesses(arrival -> true).size(), 5);
    }
}
