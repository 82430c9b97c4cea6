package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.StatementLog;
import org.wingstall.standin.fleet.StoreStandin;

/** An endpoint that stated in its answers that it leaves got requests as before while the store was silent. */
public class RelayLeavingEndpointTest {
    private static final long PLAYED_MS = StatementLog.LEAVING_WITHIN_MS + 2000;

    /** Time for which a list that lacks an entry after an outage is not believed, and some more, in ms. */
    private static final long ENTRY_GONE_MS = 3000;

    /** Longest time for a refusal that needs no wait, in ms. */
    private static final long AT_ONCE_MS = 500;

    @DataProvider
    Object[][] routes() {
        return RelayStatementFleet.routes();
    }

    private static void assertNoneSentLate(RelayStatementFleet fleet) {
        List<StatementLog.Arrival> late = fleet.log().sentAfterLeaving(arrival -> true);
        assertTrue(
                late.isEmpty(),
                late.size() + " requests, the first: " + late.stream().findFirst());
    }

    @Test(dataProvider = "routes")
    public void anEndpointThatLeavesByItsAnswersOnlyGetsNoMoreRequests(String route, String service, int boxes)
            throws Exception {
        try (RelayStatementFleet fleet = new RelayStatementFleet(service, boxes)) {
            fleet.awaitUsed(route);
            fleet.platform().store().mode(StoreStandin.Mode.SILENT);
            fleet.tested().leave();
            List<RelayBox.Reply> replies = fleet.sendFor(route, PLAYED_MS);
            assertTrue(fleet.log().hasToldLeaving("tested"));
            assertNoneSentLate(fleet);
            assertEquals(replies.stream().filter(reply -> reply.status() != 200).count(), 0, "refused");
        }
    }

    /** An entry that went while the store was away and comes back does not undo what the endpoint stated. */
    @Test
    public void anEndpointThatStatedThatItLeavesStaysOutWhenItsEntryComesBack() throws Exception {
        try (RelayStatementFleet fleet = new RelayStatementFleet("plain", 1)) {
            fleet.awaitUsed("repeatable");
            fleet.tested().leave();
            fleet.awaitUsed("repeatable");
            fleet.unlistTested();
            Pauses.ofMs(ENTRY_GONE_MS);
            fleet.listTested();
            fleet.sendFor("repeatable", PLAYED_MS);
            assertNoneSentLate(fleet);
        }
    }

    /** Nothing is sent to endpoints that are about to end, and callers don't wait for their deadline to be told so. */
    @Test
    public void aServiceWhoseEndpointsAllLeaveRefusesAtOnce() throws Exception {
        try (RelayStatementFleet fleet = new RelayStatementFleet("plain", 1)) {
            fleet.awaitUsed("repeatable");
            fleet.tested().leave();
            fleet.other().leave();
            Awaitility.await().until(() -> fleet.send("repeatable").join().status() == 503);
            long fromMs = RelayStatementFleet.nowMs();
            RelayBox.Reply reply = fleet.send("repeatable").join();
            assertTrue(RelayStatementFleet.nowMs() - fromMs < AT_ONCE_MS);
            assertEquals(reply.status(), 503);
            assertTrue(Double.parseDouble(reply.header("Retry-After")) > 0, reply.header("Retry-After"));
        }
    }
}
