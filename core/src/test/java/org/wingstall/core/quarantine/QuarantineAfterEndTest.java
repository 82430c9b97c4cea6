package org.wingstall.core.quarantine;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.answer.Reason;

/** Harmless requests that were sent to endpoints which had already ended were quarantined with the request that ended them. */
public class QuarantineAfterEndTest {
    private static final Fingerprint CULPRIT = request("culprit");
    private static final Fingerprint HARMLESS = request("harmless");
    private static final Fingerprint OTHER = request("other");
    private static final String[] ENDPOINTS = {"e1", "e2", "e3"};
    private static final long SUSPICION_MS = 120_000;

    private TwoBoxFleet fleet;

    private static Fingerprint request(String path) {
        return Fingerprint.of("canteen", "POST", "/" + path, new byte[0]);
    }

    @BeforeMethod
    public void begin() {
        fleet = new TwoBoxFleet();
    }

    private TwoBoxFleet.Box box(boolean observer) {
        return observer ? fleet.first : fleet.second;
    }

    @DataProvider
    Object[][] boxes() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "boxes")
    public void requestSentAfterTheLossIsNoSuspect(boolean observer) {
        fleet.first.lost(CULPRIT, ENDPOINTS);
        fleet.nowMs++;
        box(observer).lost(HARMLESS, ENDPOINTS);
        assertEquals(box(observer).reason(HARMLESS), null);
        assertEquals(box(observer).quarantine.isSuspected(() -> HARMLESS), false);
        assertEquals(box(observer).lossesAfterEnd, ENDPOINTS.length);
        assertEquals(fleet.second.reason(CULPRIT), Reason.QUARANTINED);
    }

    /** A box that read the report of a loss from the store before a peer sent it took the endpoint for alive. */
    @Test
    public void requestSentAfterAStoredLossIsNoSuspect() {
        fleet.disconnected = true;
        fleet.first.lost(CULPRIT, ENDPOINTS);
        fleet.nowMs++;
        fleet.first.persisted.forEach(fleet.second.quarantine::mergeStored);
        fleet.first.quarantine.snapshot().forEach(news -> fleet.second.quarantine.receive("first", news));
        fleet.nowMs++;
        fleet.second.lost(HARMLESS, ENDPOINTS);
        assertEquals(fleet.second.quarantine.isSuspected(() -> HARMLESS), false);
        assertEquals(fleet.second.lossesAfterEnd, ENDPOINTS.length);
    }

    /** Connections to one endpoint end one after the other, and boxes hear of the first end before they see their own. */
    @Test(dataProvider = "boxes")
    public void requestSentBeforeTheLossIsASuspect(boolean observer) {
        long sentAtMs = fleet.nowMs;
        fleet.nowMs += 40;
        fleet.first.lostAsSentAt(sentAtMs, HARMLESS, ENDPOINTS);
        fleet.nowMs += 10;
        box(observer).lostAsSentAt(sentAtMs, CULPRIT, ENDPOINTS);
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
        assertEquals(fleet.second.reason(CULPRIT), Reason.QUARANTINED);
    }

    /** One broken connection is no end: a request that ends the endpoint later must be counted. */
    @Test(dataProvider = "boxes")
    public void requestSentToAnEndpointThatAnsweredSinceIsASuspect(boolean observer) {
        fleet.first.lost(HARMLESS, ENDPOINTS);
        fleet.nowMs++;
        for (String endpoint : ENDPOINTS) {
            box(observer).quarantine.endpointAnswered(endpoint, fleet.nowMs);
        }
        fleet.nowMs++;
        box(observer).lost(CULPRIT, ENDPOINTS);
        assertEquals(fleet.second.reason(CULPRIT), Reason.QUARANTINED);
        assertEquals(fleet.second.reason(HARMLESS), null);
    }

    @Test
    public void responseToARequestSentBetweenTwoLossesRefutesTheFirstOnly() {
        fleet.first.lost(HARMLESS, "e1");
        long sentAtMs = ++fleet.nowMs;
        fleet.nowMs++;
        fleet.first.lostAsSentAt(sentAtMs, OTHER, "e1");
        fleet.first.quarantine.endpointAnswered("e1", sentAtMs);
        assertEquals(fleet.first.quarantine.isSuspected(() -> HARMLESS), true);
        fleet.first.lost(CULPRIT, "e1");
        assertEquals(fleet.first.quarantine.isSuspected(() -> CULPRIT), true);
    }

    @Test
    public void responseToARequestSentBeforeTheLossRefutesNothing() {
        long sentAtMs = fleet.nowMs++;
        fleet.first.lost(CULPRIT, ENDPOINTS);
        for (String endpoint : ENDPOINTS) {
            fleet.first.quarantine.endpointAnswered(endpoint, sentAtMs);
        }
        assertEquals(fleet.first.reason(CULPRIT), Reason.QUARANTINED);
    }

    @DataProvider
    Object[][] ages() {
        return new Object[][] {{1, false}, {SUSPICION_MS - 1, false}, {SUSPICION_MS, true}};
    }

    /** A loss that is as old as a suspicion lasts explains no others. */
    @Test(dataProvider = "ages")
    public void oldLossExplainsNoLaterOne(long ageMs, boolean suspected) {
        fleet.first.lost(CULPRIT, "e1");
        fleet.nowMs += ageMs;
        fleet.first.lost(HARMLESS, "e1");
        assertEquals(fleet.first.quarantine.isSuspected(() -> HARMLESS), suspected);
    }

    /** The age that a report tells is added to the time that it takes to arrive, so it never excuses a request too early. */
    @Test
    public void ageOfAReportedLossCounts() {
        fleet.disconnected = true;
        fleet.first.lost(OTHER, "e1");
        fleet.nowMs += 500;
        fleet.first.quarantine.snapshot().forEach(news -> fleet.second.quarantine.receive("first", news));
        fleet.second.lostAsSentAt(fleet.nowMs - 500, CULPRIT, "e1");
        fleet.second.lostAsSentAt(fleet.nowMs - 499, HARMLESS, "e1");
        assertEquals(fleet.second.quarantine.isSuspected(() -> CULPRIT), true);
        assertEquals(fleet.second.quarantine.isSuspected(() -> HARMLESS), false);
    }
}
