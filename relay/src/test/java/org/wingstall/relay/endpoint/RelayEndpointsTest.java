package org.wingstall.relay.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.net.http.TransportException;
import org.wingstall.relay.config.ColdStartSpec;
import org.wingstall.schema.platform.Member;

/** Tests which endpoints get work, depending on the list, on their own reports and on the results of calls. */
public class RelayEndpointsTest {
    private static final long OUTAGE_MS = 5000;

    private long nowMs;
    private RelayEndpoints endpoints;

    @BeforeMethod
    public void create() {
        nowMs = 0;
        endpoints = new RelayEndpoints(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private static Member entry(String id, boolean leaving) {
        Member.State state = leaving ? Member.State.LEAVING : Member.State.LIVE;
        return new Member(id, Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "plain", "v1", state, 1, 4, 0);
    }

    private void list(String... ids) {
        List<Member> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(entry(id, false));
        }
        endpoints.applyList(entries);
    }

    private List<String> usable() {
        return endpoints.ofService("plain").stream()
                .filter(RelayEndpoint::usable)
                .map(RelayEndpoint::id)
                .sorted()
                .toList();
    }

    @Test
    public void anEndpointMissingFromTheListIsRemovedAtOnce() {
        nowMs = OUTAGE_MS;
        list("a", "b");
        list("a");
        assertEquals(usable(), List.of("a"));
    }

    /**
     * Guards against a fault found by a random test run with the dutchpot-kgn fleet: a request reached an endpoint 2.1
     * s after its entry had been removed.
     */
    @Test
    public void anEntryRemovedAfterAnOutageIsRemovedAtOnce() {
        list("a", "b", "c");
        endpoints.markListUnavailable();
        nowMs += OUTAGE_MS;
        list("a", "b");
        nowMs += 500;
        list("a");
        assertEquals(usable(), List.of("a", "c"));
    }

    @Test
    public void anEntryThatReturnedAfterAnOutageIsRemovedAtOnce() {
        list("a", "b");
        endpoints.markListUnavailable();
        nowMs += OUTAGE_MS;
        list("a");
        list("a", "b");
        nowMs += 500;
        list("a");
        assertEquals(usable(), List.of("a"));
    }

    @Test
    public void anEntryThatExpiredDuringAnOutageIsKeptForAWhile() {
        list("a", "b");
        endpoints.markListUnavailable();
        nowMs += OUTAGE_MS;
        list("a");
        assertEquals(usable(), List.of("a", "b"));
        nowMs += 2000;
        list("a", "b");
        assertEquals(usable(), List.of("a", "b"));
    }

    @Test
    public void anEntryStillMissingAfterThatTimeIsRemoved() {
        list("a", "b");
        endpoints.markListUnavailable();
        nowMs += OUTAGE_MS;
        list("a");
        nowMs += 2400;
        list("a");
        assertEquals(usable(), List.of("a"));
    }

    @Test
    public void anOutdatedListDoesNotUndoLeaving() {
        list("a", "b");
        endpoints.markLeaving(endpoints.ofService("plain").get(0), "it said so");
        list("a", "b");
        assertEquals(usable().size(), 1);
    }

    /** An entry that disappeared and came back took back what the endpoint had stated. */
    @Test
    public void anEndpointThatStatedThatItLeavesStaysOutWhenItsEntryReturns() {
        list("a", "b");
        endpoints.markLeaving(endpoints.find("b").orElseThrow(), "answer");
        list("a");
        list("a", "b");
        assertEquals(usable(), List.of("a"));
    }

    /** An answer that arrived after its endpoint had disappeared from the list was forgotten. */
    @Test
    public void anEndpointThatStatedThatItLeavesWhileItWasNotListedStaysOut() {
        list("a", "b");
        RelayEndpoint before = endpoints.find("b").orElseThrow();
        list("a");
        endpoints.markLeaving(before, "answer");
        list("a", "b");
        assertEquals(usable(), List.of("a"));
    }

    @Test
    public void anEndpointThatOnlyDisappearedIsUsedAgainWhenItsEntryReturns() {
        list("a", "b");
        list("a");
        list("a", "b");
        assertEquals(usable(), List.of("a", "b"));
    }

    @DataProvider
    Object[][] pauses() {
        return new Object[][] {
            {new long[] {1}, 1},
            {new long[] {3000}, 3000},
            {new long[] {3000, 500}, 3000},
            {new long[] {500, 3000}, 3000},
            {new long[] {Long.MAX_VALUE}, 600_000},
        };
    }

    /** An endpoint that asked for a pause got requests before its end. */
    @Test(dataProvider = "pauses")
    public void anEndpointThatAskedForPausesIsNotUsedBeforeTheLatestEnd(long[] pausesMs, long endsAtMs) {
        list("a", "b");
        RelayEndpoint paused = endpoints.find("b").orElseThrow();
        for (long pauseMs : pausesMs) {
            paused.closeFor(pauseMs);
        }
        nowMs = endsAtMs - 1;
        list("a");
        list("a", "b");
        assertEquals(usable(), List.of("a"));
        nowMs = endsAtMs;
        assertEquals(usable(), List.of("a", "b"));
    }

    /** A store that is restored from a copy lists endpoints as ready that had gone. */
    @Test
    public void anEndpointThatWasGoneBeforeARestoreStaysOutUntilItsEntryWouldHaveLapsed() {
        nowMs = OUTAGE_MS;
        list("a", "b");
        list("a");
        endpoints.markListRestored();
        list("a", "b");
        assertEquals(usable(), List.of("a"));
        nowMs += 5000;
        list("a", "b");
        assertEquals(usable(), List.of("a", "b"));
    }

    /** The entry in the copy does not say yet that the endpoint has turned cold. */
    @Test
    public void anEndpointThatTurnedColdStaysColdThroughARestore() {
        ColdStartSpec spec = new ColdStartSpec(0, 8);
        nowMs = OUTAGE_MS;
        list("a");
        endpoints.applyList(List.of(cold("a", 8000)));
        endpoints.markListRestored();
        list("a");
        assertTrue(endpoints.find("a").orElseThrow().isCold(spec, nowMs));
        nowMs += 5000;
        list("a");
        assertFalse(endpoints.find("a").orElseThrow().isCold(spec, nowMs));
    }

    private static Member cold(String id, long coldMs) {
        Member.State live = Member.State.LIVE;
        return new Member(id, Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "plain", "v1", live, 1, 4, coldMs);
    }

    /** Entries that the copy lacks are written again. */
    @Test
    public void anEndpointThatARestoredListLacksIsUsedOnForAWhile() {
        nowMs = OUTAGE_MS;
        list("a", "b");
        endpoints.markListRestored();
        list("a");
        assertEquals(usable(), List.of("a", "b"));
        nowMs += 2400;
        list("a");
        assertEquals(usable(), List.of("a"));
    }

    @Test
    public void consecutiveFailuresKeepWorkAwayForAWhileAndAResponseResetsThem() {
        list("a");
        RelayEndpoint endpoint = endpoints.ofService("plain").get(0);
        endpoint.recordFailure("test");
        endpoint.recordFailure("test");
        assertTrue(endpoint.usable());
        endpoint.recordFailure("test");
        assertFalse(endpoint.usable());
        nowMs += 400;
        assertTrue(endpoint.usable());
        endpoint.recordFailure("test");
        nowMs += 400;
        assertFalse(endpoint.usable());
        endpoint.recordAnswer(10);
        assertTrue(endpoint.usable());
    }

    private void recordFailures(int times) {
        for (int i = 0; i < times; i++) {
            endpoints.ofService("plain").get(0).recordFailure("test");
        }
    }

    @Test
    public void workIsKeptAwayFromTheThirdConsecutiveFailureOn() {
        list("a");
        recordFailures(2);
        assertEquals(usable(), List.of("a"));
        recordFailures(1);
        assertEquals(usable(), List.of());
    }

    @Test
    public void oneCallWithoutAnyResponseKeepsWorkAwayForAWhile() {
        list("a");
        endpoints.ofService("plain").get(0).recordNoAnswer("test");
        assertEquals(usable(), List.of());
        nowMs += 400;
        assertEquals(usable(), List.of("a"));
    }

    @DataProvider
    Object[][] transportFailures() {
        return new Object[][] {
            {TransportException.Kind.CONNECT, false},
            {TransportException.Kind.TIMEOUT, false},
            {TransportException.Kind.RESET, true},
            {TransportException.Kind.PROTOCOL, true},
        };
    }

    @Test(dataProvider = "transportFailures")
    public void oneCallWithoutConnectionOrResponseKeepsWorkAway(TransportException.Kind kind, boolean staysUsable) {
        list("a");
        endpoints.ofService("plain").get(0).recordTransportFailure(new TransportException(kind, false, "test"));
        assertEquals(usable(), staysUsable ? List.of("a") : List.of());
    }

    private void loseConnection() {
        endpoints
                .ofService("plain")
                .get(0)
                .recordTransportFailure(new TransportException(TransportException.Kind.RESET, true, "test"));
    }

    /** An endpoint that had ended got work until three requests in a row were lost there. */
    @Test
    public void connectionThatEndedUnderARequestKeepsWorkAwayForAWhile() {
        list("a");
        loseConnection();
        assertEquals(usable(), List.of());
        nowMs += 400;
        assertEquals(usable(), List.of("a"));
    }

    @Test
    public void endpointThatIsAliveGetsWorkAgainUntilItsThirdLostConnection() {
        list("a");
        for (int lost = 1; lost <= 3; lost++) {
            loseConnection();
            endpoints.ofService("plain").get(0).recordAlive();
            assertEquals(usable(), lost < 3 ? List.of("a") : List.of());
        }
    }

    /** After the pause an endpoint is still in doubt, until it responds. */
    @Test
    public void endpointIsInDoubtFromALostConnectionToItsNextResponse() {
        list("a");
        RelayEndpoint endpoint = endpoints.find("a").orElseThrow();
        assertFalse(endpoint.inDoubt());
        loseConnection();
        nowMs += 400;
        assertTrue(endpoint.inDoubt());
        endpoint.recordFailure("status 500");
        assertTrue(endpoint.inDoubt());
        endpoint.recordAnswer(10);
        assertFalse(endpoint.inDoubt());
        endpoint.recordReportedLoss();
        assertTrue(endpoint.inDoubt());
        endpoint.recordAlive();
        assertFalse(endpoint.inDoubt());
    }

    @Test
    public void lossReportedByAnotherBoxKeepsWorkAwayForAWhile() {
        list("a");
        endpoints.recordReportedLoss("a@7");
        assertEquals(usable(), List.of("a"));
        endpoints.recordReportedLoss(endpoints.find("a").orElseThrow().key());
        assertEquals(usable(), List.of());
        nowMs += 400;
        assertEquals(usable(), List.of("a"));
    }

    private void listIncarnation(long incarnation, Member.State state) {
        endpoints.applyList(List.of(
                new Member("a", Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "plain", "v1", state, incarnation, 4, 0)));
    }

    @Test
    public void anEndpointRestartedUnderTheSameIdentifierIsNew() {
        listIncarnation(1, Member.State.LEAVING);
        RelayEndpoint before = endpoints.find("a").orElseThrow();
        before.state().tryAcquire(1);
        boolean changed = endpoints.applyList(List.of(new Member(
                "a", Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "plain", "v1", Member.State.LIVE, 2, 4, 0)));
        RelayEndpoint after = endpoints.find("a").orElseThrow();
        assertTrue(changed);
        assertTrue(after.usable());
        assertEquals(after.state().inFlight(), 0);
        assertFalse(before.usable());
    }

    @Test
    public void anEntryOfAnEarlierIncarnationIsIgnored() {
        listIncarnation(2, Member.State.LIVE);
        listIncarnation(1, Member.State.LEAVING);
        assertEquals(usable(), List.of("a"));
    }

    @Test
    public void anEndpointThatAnnouncedLeavingIsUsedAgainInItsNextIncarnation() {
        listIncarnation(1, Member.State.LIVE);
        endpoints.markLeaving(endpoints.find("a").orElseThrow(), "its own word");
        listIncarnation(1, Member.State.LIVE);
        assertEquals(usable(), List.of());
        listIncarnation(2, Member.State.LIVE);
        assertEquals(usable(), List.of("a"));
    }

    private List<String> usableAfter(Set<String> evacuated) {
        endpoints.evacuate(evacuated);
        return usable();
    }

    @Test
    public void anEvacuatedFailureDomainGetsNoWorkUntilTheEvacuationEnds() {
        list("a", "b");
        assertEquals(usableAfter(Set.of("east")), List.of());
        assertEquals(usableAfter(Set.of("nowhere")), List.of("a", "b"));
    }

    /** The list is read repeatedly during an evacuation and still contains the endpoints. */
    @Test
    public void aListThatIsReadDuringAnEvacuationDoesNotEndIt() {
        list("a");
        endpoints.evacuate(Set.of("east"));
        list("a", "b");
        assertEquals(usable(), List.of());
        assertEquals(usableAfter(Set.of()), List.of("a", "b"));
    }
}
