package org.wingstall.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.answer.Reason;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;

/** Requests that endpoints end under are held back; those that only ran beside them are not. */
public class QuarantineTest {
    private static final Fingerprint CULPRIT = request("culprit");
    private static final Fingerprint POPULAR = request("popular");
    private static final long TEN_MINUTES_MS = 600_000;

    private long nowMs;
    private FleetOfTwo fleet;

    /** Two boxes with a link that can be cut. */
    private final class FleetOfTwo {
        private final Box first = new Box("first");
        private final Box second = new Box("second");
        private boolean cut;

        private Box other(Box box) {
            return box == first ? second : first;
        }
    }

    private final class Box implements Quarantine.Listener {
        private final String name;
        private final List<CrashReport> kept = new ArrayList<>();
        private final List<CrashNews> told = new ArrayList<>();
        private final Quarantine quarantine;

        Box(String name) {
            this.name = name;
            this.quarantine = new Quarantine(name, () -> TimeUnit.MILLISECONDS.toNanos(nowMs), this);
        }

        @Override
        public void broadcast(CrashNews news, String exceptBox) {
            told.add(news);
            Box other = fleet.other(this);
            if (!fleet.cut && !other.name.equals(exceptBox)) {
                other.quarantine.receive(name, news);
            }
        }

        @Override
        public void persist(CrashReport report) {
            kept.add(report);
        }

        @Override
        public void changed(CrashReport report, int standing) {}

        void lost(Fingerprint request, String... endpoints) {
            for (String endpoint : endpoints) {
                quarantine.endpointLost(request, endpoint);
            }
        }

        void succeeded(Fingerprint request, String endpoint) {
            quarantine.answered(() -> request, endpoint, nowMs, true);
        }

        Reason reason(Fingerprint request) {
            return quarantine
                    .refusal(() -> request)
                    .map(QuarantineRefusal::reason)
                    .orElse(null);
        }

        Optional<String> sent(Fingerprint request, String endpoint) {
            return quarantine.sent(() -> request, endpoint);
        }
    }

    private static Fingerprint request(String path) {
        return Fingerprint.of("canteen", "POST", "/" + path, new byte[0]);
    }

    @BeforeMethod
    public void begin() {
        nowMs = 1000;
        fleet = new FleetOfTwo();
    }

    @DataProvider
    Object[][] losses() {
        return new Object[][] {{0, null}, {1, null}, {2, null}, {3, Reason.QUARANTINED}, {5, Reason.QUARANTINED}};
    }

    @Test(dataProvider = "losses")
    public void aRequestIsHeldBackFromTheThirdLossOn(int losses, Reason held) {
        for (int i = 0; i < losses; i++) {
            (i % 2 == 0 ? fleet.first : fleet.second).lost(CULPRIT, "e" + i);
        }
        assertEquals(fleet.first.reason(CULPRIT), held);
        assertEquals(fleet.second.reason(CULPRIT), held);
        assertEquals(fleet.first.reason(POPULAR), null);
    }

    @Test
    public void oneEndpointCountsOnceHoweverManyRunsEndWithIt() {
        fleet.first.lost(CULPRIT, "e1", "e1");
        fleet.second.lost(CULPRIT, "e1");
        assertEquals(fleet.first.reason(CULPRIT), null);
    }

    @Test
    public void aSuccessAnywhereClearsARequest() {
        fleet.first.lost(POPULAR, "e1", "e2");
        fleet.second.succeeded(POPULAR, "e3");
        fleet.first.lost(POPULAR, "e4");
        assertEquals(fleet.first.reason(POPULAR), null);
    }

    /** An endpoint that fails requests without running them must not clear one that crashes those that do. */
    @Test
    public void aFailureClearsNothing() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        fleet.second.quarantine.answered(() -> CULPRIT, "e4", nowMs, false);
        assertEquals(fleet.second.reason(CULPRIT), Reason.QUARANTINED);
    }

    /** A connection that broke, with the endpoint there still, is no loss of the endpoint. */
    @Test
    public void anEndpointThatAnswersLaterWasNotLost() {
        fleet.first.lost(POPULAR, "e1", "e2", "e3");
        nowMs++;
        fleet.first.quarantine.answered(() -> request("other"), "e1", nowMs, false);
        assertEquals(fleet.first.reason(POPULAR), null);
        assertEquals(fleet.second.reason(POPULAR), null);
    }

    @Test
    public void anAnswerToWhatWasSentBeforeProvesNothing() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        fleet.first.quarantine.answered(() -> request("other"), "e1", nowMs - 500, true);
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
    }

    @Test
    public void afterTwoLossesOneBoxTriesItAtATime() {
        fleet.first.lost(CULPRIT, "e1", "e2");
        String trial = fleet.first.sent(CULPRIT, "e3").orElseThrow();
        assertEquals(fleet.second.reason(CULPRIT), Reason.SUSPECT_ON_TRIAL);
        assertEquals(fleet.first.reason(CULPRIT), Reason.SUSPECT_ON_TRIAL);
        fleet.first.quarantine.endTrial(CULPRIT, trial);
        assertEquals(fleet.second.reason(CULPRIT), null);
    }

    /** The box that tried it may have ended. */
    @Test
    public void aTrialWithoutAnEndDoesNotLastForEver() {
        fleet.first.lost(CULPRIT, "e1", "e2");
        fleet.first.sent(CULPRIT, "e3");
        nowMs += 5000;
        assertEquals(fleet.second.reason(CULPRIT), null);
    }

    @Test
    public void othersStayAwayFromAnEndpointWithATrial() {
        fleet.first.lost(CULPRIT, "e1", "e2");
        String trial = fleet.first.sent(CULPRIT, "e3").orElseThrow();
        assertEquals(fleet.second.quarantine.endpointsToAvoid(() -> POPULAR), Set.of("e3"));
        assertEquals(fleet.second.quarantine.endpointsToAvoid(() -> CULPRIT), Set.of());
        fleet.first.quarantine.endTrial(CULPRIT, trial);
        assertEquals(fleet.second.quarantine.endpointsToAvoid(() -> POPULAR), Set.of());
    }

    /** Whoever stood beside the culprit twice is tried apart from it: one of the two ends its endpoint alone. */
    @Test
    public void aSuspectThatStoodBesideTheCulpritIsClearedByItsTrial() {
        for (Fingerprint suspect : List.of(CULPRIT, POPULAR)) {
            fleet.first.lost(suspect, "e1", "e2");
        }
        fleet.first.sent(CULPRIT, "e3");
        assertTrue(fleet.second.quarantine.endpointsToAvoid(() -> POPULAR).contains("e3"));
        fleet.second.sent(POPULAR, "e4");
        fleet.first.lost(CULPRIT, "e3");
        fleet.second.succeeded(POPULAR, "e4");
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
        assertEquals(fleet.first.reason(POPULAR), null);
    }

    @DataProvider
    Object[][] holds() {
        return new Object[][] {{3, TEN_MINUTES_MS}, {4, 2 * TEN_MINUTES_MS}, {9, 64 * TEN_MINUTES_MS}};
    }

    @Test(dataProvider = "holds")
    public void itIsHeldBackForLongerWithEachLossAndThenOnTrialAgain(int losses, long heldMs) {
        for (int i = 0; i < losses; i++) {
            fleet.first.lost(CULPRIT, "e" + i);
        }
        nowMs += heldMs - 1;
        Optional<QuarantineRefusal> hold = fleet.second.quarantine.refusal(() -> CULPRIT);
        assertEquals(hold.orElseThrow().reason(), Reason.QUARANTINED);
        assertEquals(hold.orElseThrow().retryAfterMs(), 1);
        nowMs++;
        assertEquals(fleet.second.reason(CULPRIT), null);
        assertTrue(fleet.second.sent(CULPRIT, "e-trial").isPresent());
        assertEquals(fleet.first.reason(CULPRIT), Reason.SUSPECT_ON_TRIAL);
    }

    /** A full record takes no more losses, so a trial that ended another endpoint left no trace and the next followed at once. */
    @Test
    public void aRequestThatEndedMoreEndpointsThanAreRememberedIsNotTriedAgain() {
        for (int i = 0; i < 40; i++) {
            fleet.first.lost(CULPRIT, "e" + i);
        }
        nowMs += 86_400_000 - 1;
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
    }

    /** What turns out not to be a loss says nothing of when the others came. */
    @Test
    public void aWithdrawnLossDoesNotMakeAHoldLonger() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3", "e4");
        nowMs += 60_000;
        fleet.first.quarantine.answered(() -> request("other"), "e4", nowMs, true);
        nowMs += TEN_MINUTES_MS - 60_000;
        assertEquals(fleet.first.reason(CULPRIT), null);
    }

    @Test
    public void lossesThatLieFarApartAreNotCountedTogether() {
        fleet.first.lost(POPULAR, "e1", "e2");
        nowMs += 120_000;
        fleet.first.lost(POPULAR, "e3");
        assertEquals(fleet.first.reason(POPULAR), null);
    }

    @Test
    public void boxesThatWereCutOffAddUpWhatEachSaw() {
        fleet.cut = true;
        fleet.first.lost(CULPRIT, "e1", "e2");
        fleet.second.lost(CULPRIT, "e3");
        assertEquals(fleet.second.reason(CULPRIT), null);
        fleet.cut = false;
        fleet.first.quarantine.snapshot().forEach(news -> fleet.second.quarantine.receive("first", news));
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
        assertEquals(fleet.second.reason(CULPRIT), Reason.QUARANTINED);
    }

    @Test
    public void whatDecidesIsKeptAndReadByABoxWithoutLinks() {
        fleet.cut = true;
        fleet.first.lost(CULPRIT, "e1", "e2");
        assertEquals(fleet.first.kept, List.of());
        fleet.first.lost(CULPRIT, "e3");
        assertEquals(fleet.first.kept.size(), 1);
        fleet.first.kept.forEach(fleet.second.quarantine::mergeStored);
        assertEquals(fleet.second.reason(CULPRIT), Reason.QUARANTINED);
        assertEquals(fleet.second.kept, List.of());
    }

    /** Two boxes write one row; what the later write lacks is kept again by whoever knows it. */
    @Test
    public void aKeptReportThatLacksLossesIsKeptAnew() {
        fleet.cut = true;
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        fleet.second.lost(CULPRIT, "e4", "e5", "e6");
        fleet.first.quarantine.mergeStored(fleet.second.kept.get(0));
        CrashReport anew = fleet.first.kept.get(1);
        assertEquals(Set.copyOf(anew.getLosses()), Set.of("e1", "e2", "e3", "e4", "e5", "e6"));
        fleet.second.quarantine.mergeStored(anew);
        assertEquals(fleet.second.kept.size(), 1);
    }

    @Test
    public void aClearedRequestIsClearedWhereItWasKeptToo() {
        fleet.first.lost(POPULAR, "e1", "e2", "e3");
        fleet.first.succeeded(POPULAR, "e4");
        CrashReport last = fleet.first.kept.get(fleet.first.kept.size() - 1);
        assertEquals(Set.copyOf(last.getWithdrawn()), Set.of("e1", "e2", "e3"));
    }

    /** A few broken connections wrote rows that woke every box: 9,426 calls to the store on a day of 86 boxes, 4,267 before. */
    @Test
    public void twoLossesThatAreClearedWriteNothing() {
        fleet.first.lost(POPULAR, "e1", "e2");
        fleet.second.succeeded(POPULAR, "e3");
        assertEquals(fleet.first.kept, List.of());
        assertEquals(fleet.second.kept, List.of());
    }

    @Test
    public void anOperatorLiftsAHold() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        assertTrue(fleet.second.quarantine.lift(CULPRIT));
        assertFalse(fleet.second.quarantine.lift(CULPRIT));
        assertEquals(fleet.first.reason(CULPRIT), null);
    }

    @Test
    public void reportsOfManyRequestsLeaveRoomForThoseHeldBack() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        for (int i = 0; i < 10_000; i++) {
            nowMs++;
            fleet.first.lost(request("other-" + i), "f" + i);
        }
        assertTrue(fleet.first.quarantine.reports().size() <= 2000);
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
    }

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}, {5}, {6}, {7}, {8}};
    }

    /** Reports that come in another order, twice, or by way of other boxes add up to the same. */
    @Test(dataProvider = "seeds")
    public void reportsAddUpInWhateverOrderTheyCome(int seed) {
        fleet.cut = true;
        Random random = new Random(seed);
        for (int i = 0; i < 30; i++) {
            Fingerprint request = random.nextBoolean() ? CULPRIT : POPULAR;
            if (random.nextInt(3) > 0) {
                fleet.first.lost(request, "e" + random.nextInt(9));
            } else {
                fleet.first.succeeded(POPULAR, "e" + random.nextInt(9));
            }
        }
        List<CrashNews> shuffled = new ArrayList<>(fleet.first.told);
        shuffled.addAll(fleet.first.told);
        Collections.shuffle(shuffled, random);
        shuffled.forEach(news -> fleet.second.quarantine.receive("first", news));
        for (Fingerprint request : List.of(CULPRIT, POPULAR)) {
            assertEquals(fleet.second.reason(request), fleet.first.reason(request));
        }
    }

    @Test
    public void newsGoesRoundOnce() {
        fleet.first.lost(CULPRIT, "e1");
        assertEquals(fleet.first.told.size(), 1);
        assertEquals(fleet.second.told.size(), 1);
    }

    @DataProvider
    Object[][] differences() {
        byte[] body = "body".getBytes(StandardCharsets.UTF_8);
        return new Object[][] {
            {"caller", Fingerprint.of("other", "POST", "/x", body)},
            {"method", Fingerprint.of("canteen", "GET", "/x", body)},
            {"path", Fingerprint.of("canteen", "POST", "/x?y", body)},
            {"body", Fingerprint.of("canteen", "POST", "/x", new byte[0])},
        };
    }

    @Test(dataProvider = "differences")
    public void requestsThatDifferHaveAnotherFingerprint(String in, Fingerprint other) {
        byte[] body = "body".getBytes(StandardCharsets.UTF_8);
        assertFalse(other.equals(Fingerprint.of("canteen", "POST", "/x", body)), in);
    }
}
