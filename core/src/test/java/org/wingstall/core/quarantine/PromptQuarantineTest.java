package org.wingstall.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.answer.Reason;

/** Tests that parts of prompts which crash endpoints are quarantined, and parts beside them are not. */
public class PromptQuarantineTest {
    private static final Fingerprint SYSTEM = part("5957");
    private static final Fingerprint CULPRIT = part("c4a5");
    private static final long CRASH_MS = 50;
    private static final long SETTLING_MS = 500;
    private static final long FIRST_HOLD_MS = 10_000;
    private static final long SECOND_HOLD_MS = 80_000;

    private TwoBoxFleet fleet;
    private int requests;
    private int endpoints;

    private static Fingerprint part(String id) {
        return Fingerprint.ofPart("llm", "m", id);
    }

    @BeforeMethod
    public void begin() {
        fleet = new TwoBoxFleet();
    }

    private Fingerprint nextRequest() {
        return Fingerprint.of("canteen", "POST", "/" + requests++, new byte[0]);
    }

    private PromptQuarantine prompt(TwoBoxFleet.Box box, Fingerprint... parts) {
        return promptOf(box, nextRequest(), parts);
    }

    private static PromptQuarantine promptOf(TwoBoxFleet.Box box, Fingerprint request, Fingerprint... parts) {
        return new PromptQuarantine(box.quarantine, () -> request, List.of(parts));
    }

    private static Reason reason(PromptQuarantine prompt) {
        return prompt.refusal().map(QuarantineRefusal::reason).orElse(null);
    }

    /** Sends a request, and ends its endpoint some time later. */
    private void crash(TwoBoxFleet.Box box, Fingerprint request, Fingerprint... parts) {
        PromptQuarantine prompt = prompt(box, parts);
        String endpoint = "e" + endpoints++;
        long sentAtMs = ++fleet.nowMs;
        prompt.sent(endpoint);
        fleet.nowMs += CRASH_MS;
        new RequestQuarantine(box.quarantine, () -> request).endpointLost(prompt, endpoint, sentAtMs);
        prompt.endTrials();
        fleet.nowMs += SETTLING_MS;
    }

    private void survive(TwoBoxFleet.Box box, Fingerprint... parts) {
        PromptQuarantine prompt = prompt(box, parts);
        prompt.sent("e" + endpoints++);
        fleet.nowMs += PromptQuarantine.SURVIVED_MS;
        prompt.survived();
    }

    @DataProvider
    Object[][] losses() {
        return new Object[][] {{0, null}, {1, null}, {2, null}, {3, Reason.PROMPT_PART_QUARANTINED}};
    }

    @Test(dataProvider = "losses")
    public void partIsHeldAtEveryBoxFromTheThirdLossOfDifferentRequests(int losses, Reason held) {
        for (int i = 0; i < losses; i++) {
            crash(i % 2 == 0 ? fleet.first : fleet.second, nextRequest(), CULPRIT);
        }
        assertEquals(reason(prompt(fleet.first, CULPRIT)), held);
        assertEquals(reason(prompt(fleet.second, SYSTEM, CULPRIT)), held);
        assertEquals(reason(prompt(fleet.second, SYSTEM)), null);
    }

    @Test
    public void repeatsOfOneRequestAreNoEvidenceAgainstItsParts() {
        Fingerprint request = nextRequest();
        for (int i = 0; i < 5; i++) {
            crash(fleet.first, request, CULPRIT);
        }
        assertEquals(reason(prompt(fleet.first, CULPRIT)), null);
    }

    @Test
    public void onlyOneBoxAtATimeTriesAPartAfterALoss() {
        crash(fleet.first, nextRequest(), CULPRIT);
        PromptQuarantine trial = prompt(fleet.first, CULPRIT);
        trial.sent("e9");
        assertEquals(reason(prompt(fleet.second, CULPRIT)), Reason.PROMPT_PART_ON_TRIAL);
        trial.endTrials();
        assertEquals(reason(prompt(fleet.second, CULPRIT)), null);
    }

    /** Most requests have the part in common, so one at a time would refuse nearly all of them. */
    @Test
    public void partThatEndpointsAnswerRegularlyIsNotTriedOneAtATime() {
        survive(fleet.first, SYSTEM);
        crash(fleet.first, nextRequest(), SYSTEM);
        fleet.nowMs--;
        prompt(fleet.first, SYSTEM).sent("e9");
        assertEquals(reason(prompt(fleet.first, SYSTEM)), null);
    }

    @Test
    public void partThatNoEndpointAnswersAnyMoreIsTriedOneAtATime() {
        survive(fleet.first, SYSTEM);
        crash(fleet.first, nextRequest(), SYSTEM);
        prompt(fleet.first, SYSTEM).sent("e9");
        assertEquals(reason(prompt(fleet.first, SYSTEM)), Reason.PROMPT_PART_ON_TRIAL);
    }

    @Test
    public void partWithoutRecentAnswersIsTriedOnceTheLossHasSettled() {
        crash(fleet.first, nextRequest(), CULPRIT);
        fleet.nowMs--;
        assertEquals(reason(prompt(fleet.second, CULPRIT)), Reason.PROMPT_PART_ON_TRIAL);
        fleet.nowMs++;
        assertEquals(reason(prompt(fleet.second, CULPRIT)), null);
    }

    @Test
    public void answerAtAnyBoxClearsAPart() {
        crash(fleet.first, nextRequest(), SYSTEM);
        crash(fleet.first, nextRequest(), SYSTEM);
        survive(fleet.second, SYSTEM);
        crash(fleet.first, nextRequest(), SYSTEM);
        assertEquals(reason(prompt(fleet.first, SYSTEM)), null);
    }

    @Test
    public void lossAfterTheBeginningOfALongAnswerIsNoEvidence() {
        for (int i = 0; i < 5; i++) {
            PromptQuarantine prompt = prompt(fleet.first, SYSTEM);
            prompt.sent("e" + i);
            prompt.survived();
            new RequestQuarantine(fleet.first.quarantine, this::nextRequest)
                    .endpointLost(prompt, "e" + i, fleet.nowMs++);
        }
        assertEquals(fleet.first.quarantine.quarantinedParts(), 0);
        assertEquals(reason(prompt(fleet.first, SYSTEM)), null);
    }

    @Test
    public void endpointsThatEndTogetherCountOnce() {
        fleet.disconnected = true;
        for (TwoBoxFleet.Box box : List.of(fleet.first, fleet.second)) {
            for (int i = 0; i < 3; i++) {
                box.quarantine.endpointLost(nextRequest(), List.of(SYSTEM), box.name + i, fleet.nowMs);
            }
        }
        fleet.disconnected = false;
        fleet.first.quarantine.snapshot().forEach(news -> fleet.second.quarantine.receive("first", news));
        fleet.nowMs += SETTLING_MS;
        assertEquals(reason(prompt(fleet.second, SYSTEM)), null);
    }

    /** A part that always stands beside a crashing one was lost as often. */
    @Test
    public void lossIsBlamedOnThePartThatWasSuspectedBefore() {
        crash(fleet.first, nextRequest(), CULPRIT);
        for (int i = 0; i < 4; i++) {
            crash(fleet.second, nextRequest(), SYSTEM, CULPRIT);
        }
        assertEquals(reason(prompt(fleet.first, SYSTEM)), null);
        assertEquals(reason(prompt(fleet.first, CULPRIT)), Reason.PROMPT_PART_QUARANTINED);
    }

    @Test
    public void requestsWithOneSuspectedPartAreTriedFirstAfterASecondLoss() {
        crash(fleet.first, nextRequest(), SYSTEM, CULPRIT);
        assertEquals(reason(prompt(fleet.first, SYSTEM, CULPRIT)), null);
        crash(fleet.first, nextRequest(), SYSTEM, CULPRIT);
        assertEquals(reason(prompt(fleet.first, SYSTEM, CULPRIT)), Reason.PROMPT_PART_ON_TRIAL);
        assertEquals(reason(prompt(fleet.first, SYSTEM)), null);
        fleet.nowMs += 2000;
        assertEquals(reason(prompt(fleet.first, SYSTEM, CULPRIT)), null);
    }

    @Test
    public void partIsTriedWhenAnotherOneWasLostWithItEachTime() {
        for (int i = 0; i < 3; i++) {
            crash(fleet.first, nextRequest(), SYSTEM, CULPRIT);
            fleet.nowMs += 2000;
        }
        assertEquals(reason(prompt(fleet.second, SYSTEM, CULPRIT)), Reason.PROMPT_PART_QUARANTINED);
        assertEquals(reason(prompt(fleet.second, SYSTEM)), null);
        survive(fleet.second, SYSTEM);
        assertEquals(reason(prompt(fleet.first, CULPRIT)), Reason.PROMPT_PART_QUARANTINED);
        assertEquals(reason(prompt(fleet.first, SYSTEM)), null);
    }

    /** A stream that lost its endpoint was broken off instead of going on, while its parts were suspected for its loss. */
    @Test
    public void repeatOfALostRequestIsRefusedOnlyForHeldParts() {
        Fingerprint lost = nextRequest();
        crash(fleet.first, lost, SYSTEM, CULPRIT);
        prompt(fleet.second, CULPRIT).sent("e9");
        assertEquals(reason(promptOf(fleet.first, lost, SYSTEM, CULPRIT)), null);
        crash(fleet.first, nextRequest(), CULPRIT);
        crash(fleet.first, nextRequest(), CULPRIT);
        assertEquals(reason(promptOf(fleet.first, lost, SYSTEM, CULPRIT)), Reason.PROMPT_PART_QUARANTINED);
    }

    @Test
    public void holdEndsWithATrialAndGrowsWithItsLoss() {
        for (int i = 0; i < 3; i++) {
            crash(fleet.first, nextRequest(), CULPRIT);
        }
        fleet.nowMs += FIRST_HOLD_MS;
        assertEquals(reason(prompt(fleet.second, CULPRIT)), null);
        crash(fleet.second, nextRequest(), CULPRIT);
        fleet.nowMs += SECOND_HOLD_MS - SETTLING_MS - 1;
        assertEquals(reason(prompt(fleet.first, CULPRIT)), Reason.PROMPT_PART_QUARANTINED);
        fleet.nowMs++;
        assertEquals(reason(prompt(fleet.first, CULPRIT)), null);
        survive(fleet.first, CULPRIT);
        assertEquals(reason(prompt(fleet.second, CULPRIT)), null);
        assertEquals(fleet.second.quarantine.quarantinedParts(), 0);
    }

    @Test
    public void operatorCanLiftTheHoldOfAPart() {
        for (int i = 0; i < 3; i++) {
            crash(fleet.first, nextRequest(), CULPRIT);
        }
        assertEquals(fleet.second.quarantine.quarantinedParts(), 1);
        assertTrue(fleet.second.quarantine.lift(CULPRIT));
        assertEquals(reason(prompt(fleet.first, CULPRIT)), null);
    }

    @DataProvider
    Object[][] partIds() {
        return new Object[][] {{"5c1e07a2", "part:llm:m:5c1e07a2"}, {"a b", null}, {"x".repeat(200), null}};
    }

    @Test(dataProvider = "partIds")
    public void fingerprintShowsThePartUnlessItIsUnfitForAKey(String id, String shown) {
        String hex = part(id).hex();
        assertTrue(shown == null ? hex.matches("part:[0-9a-f]{32}") : hex.equals(shown), hex);
    }
}
