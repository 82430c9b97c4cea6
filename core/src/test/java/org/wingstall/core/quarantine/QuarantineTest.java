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
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.answer.Reason;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;

/**
 * Tests that requests which crash endpoints are quarantined, and that requests which merely ran at the same time are
 * not.
 */
public class QuarantineTest {
    private static final Fingerprint CULPRIT = request("culprit");
    private static final Fingerprint POPULAR = request("popular");
    private static final long TEN_MINUTES_MS = 600_000;

    private TwoBoxFleet fleet;

    private static Fingerprint request(String path) {
        return Fingerprint.of("canteen", "POST", "/" + path, new byte[0]);
    }

    @BeforeMethod
    public void begin() {
        fleet = new TwoBoxFleet();
    }

    @DataProvider
    Object[][] losses() {
        return new Object[][] {{0, null}, {1, null}, {2, null}, {3, Reason.QUARANTINED}, {5, Reason.QUARANTINED}};
    }

    @Test(dataProvider = "losses")
    public void requestIsQuarantinedFromTheThirdLoss(int losses, Reason held) {
        for (int i = 0; i < losses; i++) {
            (i % 2 == 0 ? fleet.first : fleet.second).lost(CULPRIT, "e" + i);
        }
        assertEquals(fleet.first.reason(CULPRIT), held);
        assertEquals(fleet.second.reason(CULPRIT), held);
        assertEquals(fleet.first.reason(POPULAR), null);
    }

    @Test
    public void anEndpointCountsAsOneLossHoweverManyRunsItEnds() {
        fleet.first.lost(CULPRIT, "e1", "e1");
        fleet.second.lost(CULPRIT, "e1");
        assertEquals(fleet.first.reason(CULPRIT), null);
    }

    @Test
    public void successOnAnyBoxClearsARequest() {
        fleet.first.lost(POPULAR, "e1", "e2");
        fleet.second.succeeded(POPULAR, "e3");
        fleet.first.lost(POPULAR, "e4");
        assertEquals(fleet.first.reason(POPULAR), null);
    }

    /**
     * An endpoint that responds with failures without running requests must not clear a request that crashes the
     * endpoints that run it.
     */
    @Test
    public void failureDoesNotClearARequest() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        fleet.second.quarantine.answered(() -> CULPRIT, "e4", fleet.nowMs, false);
        assertEquals(fleet.second.reason(CULPRIT), Reason.QUARANTINED);
    }

    /** A broken connection to an endpoint that is still alive is not a loss. */
    @Test
    public void laterResponseFromAnEndpointWithdrawsItsLoss() {
        fleet.first.lost(POPULAR, "e1", "e2", "e3");
        fleet.nowMs++;
        fleet.first.quarantine.answered(() -> request("other"), "e1", fleet.nowMs, false);
        assertEquals(fleet.first.reason(POPULAR), null);
        assertEquals(fleet.second.reason(POPULAR), null);
    }

    @Test
    public void responseToARequestSentBeforeTheLossWithdrawsNothing() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        fleet.first.quarantine.answered(() -> request("other"), "e1", fleet.nowMs - 500, true);
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
    }

    @Test
    public void afterTwoLossesOnlyOneBoxAtATimeRunsATrial() {
        fleet.first.lost(CULPRIT, "e1", "e2");
        String trial = fleet.first.sent(CULPRIT, "e3").orElseThrow();
        assertEquals(fleet.second.reason(CULPRIT), Reason.SUSPECT_ON_TRIAL);
        assertEquals(fleet.first.reason(CULPRIT), Reason.SUSPECT_ON_TRIAL);
        fleet.first.quarantine.endTrial(CULPRIT, trial);
        assertEquals(fleet.second.reason(CULPRIT), null);
    }

    /** The box that started the trial may have stopped before ending it. */
    @Test
    public void trialWithoutAnEndTimesOut() {
        fleet.first.lost(CULPRIT, "e1", "e2");
        fleet.first.sent(CULPRIT, "e3");
        fleet.nowMs += 5000;
        assertEquals(fleet.second.reason(CULPRIT), null);
    }

    @Test
    public void otherRequestsAvoidAnEndpointWithATrial() {
        fleet.first.lost(CULPRIT, "e1", "e2");
        String trial = fleet.first.sent(CULPRIT, "e3").orElseThrow();
        assertEquals(fleet.second.quarantine.endpointsToAvoid(() -> POPULAR), Set.of("e3"));
        assertEquals(fleet.second.quarantine.endpointsToAvoid(() -> CULPRIT), Set.of());
        fleet.first.quarantine.endTrial(CULPRIT, trial);
        assertEquals(fleet.second.quarantine.endpointsToAvoid(() -> POPULAR), Set.of());
    }

    /**
     * Two requests that ran together on two lost endpoints are tried on different endpoints, so that only the culprit
     * gets a third loss.
     */
    @Test
    public void harmlessSuspectIsClearedByItsTrial() {
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
    Object[][] quarantineTimes() {
        return new Object[][] {{3, TEN_MINUTES_MS}, {4, 2 * TEN_MINUTES_MS}, {9, 64 * TEN_MINUTES_MS}};
    }

    @Test(dataProvider = "quarantineTimes")
    public void quarantineTimeDoublesWithEachLossAndATrialFollows(int losses, long quarantineMs) {
        for (int i = 0; i < losses; i++) {
            fleet.first.lost(CULPRIT, "e" + i);
        }
        fleet.nowMs += quarantineMs - 1;
        Optional<QuarantineRefusal> hold = fleet.second.quarantine.refusal(() -> CULPRIT);
        assertEquals(hold.orElseThrow().reason(), Reason.QUARANTINED);
        assertEquals(hold.orElseThrow().retryAfterMs(), 1);
        fleet.nowMs++;
        assertEquals(fleet.second.reason(CULPRIT), null);
        assertTrue(fleet.second.sent(CULPRIT, "e-trial").isPresent());
        assertEquals(fleet.first.reason(CULPRIT), Reason.SUSPECT_ON_TRIAL);
    }

    /**
     * Guards against endless trials: a full record stores no more losses, so a trial that crashed another endpoint left
     * no record and the next trial started at once.
     */
    @Test
    public void requestWithAFullRecordGetsNoFurtherTrial() {
        for (int i = 0; i < 40; i++) {
            fleet.first.lost(CULPRIT, "e" + i);
        }
        fleet.nowMs += 86_400_000 - 1;
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
    }

    /** A withdrawn loss must not change the recorded time of the last loss. */
    @Test
    public void withdrawnLossDoesNotExtendAQuarantine() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3", "e4");
        fleet.nowMs += 60_000;
        fleet.first.quarantine.answered(() -> request("other"), "e4", fleet.nowMs, true);
        fleet.nowMs += TEN_MINUTES_MS - 60_000;
        assertEquals(fleet.first.reason(CULPRIT), null);
    }

    @Test
    public void lossesFarApartInTimeAreNotAdded() {
        fleet.first.lost(POPULAR, "e1", "e2");
        fleet.nowMs += 120_000;
        fleet.first.lost(POPULAR, "e3");
        assertEquals(fleet.first.reason(POPULAR), null);
    }

    @Test
    public void reconnectedBoxesMergeTheirLosses() {
        fleet.disconnected = true;
        fleet.first.lost(CULPRIT, "e1", "e2");
        fleet.second.lost(CULPRIT, "e3");
        assertEquals(fleet.second.reason(CULPRIT), null);
        fleet.disconnected = false;
        fleet.first.quarantine.snapshot().forEach(news -> fleet.second.quarantine.receive("first", news));
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
        assertEquals(fleet.second.reason(CULPRIT), Reason.QUARANTINED);
    }

    @Test
    public void decisiveReportIsPersistedAndReadByABoxWithoutLinks() {
        fleet.disconnected = true;
        fleet.first.lost(CULPRIT, "e1", "e2");
        assertEquals(fleet.first.persisted, List.of());
        fleet.first.lost(CULPRIT, "e3");
        assertEquals(fleet.first.persisted.size(), 1);
        fleet.first.persisted.forEach(fleet.second.quarantine::mergeStored);
        assertEquals(fleet.second.reason(CULPRIT), Reason.QUARANTINED);
        assertEquals(fleet.second.persisted, List.of());
    }

    /** Two boxes write the same row; a box that knows losses missing in the later write stores the merged report. */
    @Test
    public void storedReportThatLacksLossesIsPersistedAgain() {
        fleet.disconnected = true;
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        fleet.second.lost(CULPRIT, "e4", "e5", "e6");
        fleet.first.quarantine.mergeStored(fleet.second.persisted.get(0));
        CrashReport merged = fleet.first.persisted.get(1);
        assertEquals(Set.copyOf(merged.getLosses()), Set.of("e1", "e2", "e3", "e4", "e5", "e6"));
        fleet.second.quarantine.mergeStored(merged);
        assertEquals(fleet.second.persisted.size(), 1);
    }

    @Test
    public void clearingARequestUpdatesItsStoredReport() {
        fleet.first.lost(POPULAR, "e1", "e2", "e3");
        fleet.first.succeeded(POPULAR, "e4");
        CrashReport last = fleet.first.persisted.get(fleet.first.persisted.size() - 1);
        assertEquals(Set.copyOf(last.getWithdrawn()), Set.of("e1", "e2", "e3"));
    }

    /**
     * Guards against store writes for one or two losses, which a few broken connections cause and which
     * wake every box: a simulated day of 86 boxes made 9,426 calls to the store instead of 4,267.
     */
    @Test
    public void twoClearedLossesWriteNothingToTheStore() {
        fleet.first.lost(POPULAR, "e1", "e2");
        fleet.second.succeeded(POPULAR, "e3");
        assertEquals(fleet.first.persisted, List.of());
        assertEquals(fleet.second.persisted, List.of());
    }

    @Test
    public void operatorCanLiftAQuarantine() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        assertTrue(fleet.second.quarantine.lift(CULPRIT));
        assertFalse(fleet.second.quarantine.lift(CULPRIT));
        assertEquals(fleet.first.reason(CULPRIT), null);
    }

    @DataProvider
    Object[][] timesOfClearing() {
        return new Object[][] {{0}, {121_000}, {TEN_MINUTES_MS}, {2 * TEN_MINUTES_MS}};
    }

    /** A request stayed on trial, or held, when it was cleared over two minutes after its last loss. */
    @Test(dataProvider = "timesOfClearing")
    public void clearedRequestNeedsNoTrialHoweverOldItsLossesAre(long afterMs) {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        fleet.nowMs += afterMs;
        fleet.second.succeeded(CULPRIT, "e4");
        assertEquals(fleet.first.reason(CULPRIT), null);
        assertEquals(fleet.first.sent(CULPRIT, "e5"), Optional.empty());
        assertEquals(fleet.second.sent(CULPRIT, "e5"), Optional.empty());
    }

    @Test
    public void evictionKeepsQuarantinedRequests() {
        fleet.first.lost(CULPRIT, "e1", "e2", "e3");
        for (int i = 0; i < 10_000; i++) {
            fleet.nowMs++;
            fleet.first.lost(request("other-" + i), "f" + i);
        }
        assertTrue(fleet.first.quarantine.reports().size() <= 2000);
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
    }

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}, {5}, {6}, {7}, {8}};
    }

    /** Reports that arrive in another order, twice, or through other boxes lead to the same state. */
    @Test(dataProvider = "seeds")
    public void reportsMergeToTheSameStateInAnyOrder(int seed) {
        fleet.disconnected = true;
        Random random = new Random(seed);
        for (int i = 0; i < 30; i++) {
            Fingerprint request = random.nextBoolean() ? CULPRIT : POPULAR;
            if (random.nextInt(3) > 0) {
                fleet.first.lost(request, "e" + random.nextInt(9));
            } else {
                fleet.first.succeeded(POPULAR, "e" + random.nextInt(9));
            }
        }
        List<CrashNews> shuffled = new ArrayList<>(fleet.first.broadcasts);
        shuffled.addAll(fleet.first.broadcasts);
        Collections.shuffle(shuffled, random);
        shuffled.forEach(news -> fleet.second.quarantine.receive("first", news));
        for (Fingerprint request : List.of(CULPRIT, POPULAR)) {
            assertEquals(fleet.second.reason(request), fleet.first.reason(request));
        }
    }

    @Test
    public void eachMessageIsForwardedOnce() {
        fleet.first.lost(CULPRIT, "e1");
        assertEquals(fleet.first.broadcasts.size(), 1);
        assertEquals(fleet.second.broadcasts.size(), 1);
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
    public void differentRequestsHaveDifferentFingerprints(String in, Fingerprint other) {
        byte[] body = "body".getBytes(StandardCharsets.UTF_8);
        assertFalse(other.equals(Fingerprint.of("canteen", "POST", "/x", body)), in);
    }
}
