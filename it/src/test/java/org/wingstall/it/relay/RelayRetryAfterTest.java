package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.StatementLog;

/** An endpoint that rejected a request with a Retry-After got the next requests of the same box as before. */
public class RelayRetryAfterTest {
    private static final long PLAYED_MS = 5000;

    private static final String SECONDS = "1.8";
    private static final double LONGEST_SECONDS = 1.8;

    /** Longest time for a refusal that needs no wait, in ms. */
    private static final long AT_ONCE_MS = 500;

    @DataProvider
    Object[][] routes() {
        return RelayStatementFleet.routes();
    }

    private static void assertRestsKept(RelayStatementFleet fleet) {
        List<StatementLog.Rest> broken = fleet.log().brokenRests(rest -> true);
        assertTrue(
                broken.isEmpty(),
                broken.size() + " rests, the first: " + broken.stream().findFirst());
    }

    @Test(dataProvider = "routes")
    public void anEndpointThatNamesARetryAfterGetsNoRequestsUntilThen(String route, String service, int boxes)
            throws Exception {
        try (RelayStatementFleet fleet = new RelayStatementFleet(service, boxes)) {
            fleet.awaitUsed(route);
            fleet.tested().shed(SECONDS);
            fleet.sendFor(route, PLAYED_MS);
            assertTrue(fleet.log().restsAskedBy("tested") > 0);
            assertRestsKept(fleet);
            fleet.tested().takeRequests();
            fleet.awaitUsed(route);
        }
    }

    @DataProvider
    Object[][] unreadable() {
        return new Object[][] {{"0"}, {"-3"}, {"soon"}, {""}};
    }

    /** A Retry-After without a time keeps nothing away. */
    @Test(dataProvider = "unreadable")
    public void anEndpointThatNamesNoTimeIsUsedAsBefore(String text) throws Exception {
        try (RelayStatementFleet fleet = new RelayStatementFleet("plain", 1)) {
            fleet.awaitUsed("repeatable");
            fleet.tested().shed(text);
            fleet.awaitUsed("repeatable");
            fleet.tested().takeRequests();
            fleet.awaitUsed("repeatable");
        }
    }

    @DataProvider
    Object[][] refusing() {
        return new Object[][] {{"resumable", "engine"}, {"repeatable", "plain"}, {"staged", "first"}};
    }

    /** Callers are told at once when the first endpoint takes requests again, and none is sent before. */
    @Test(dataProvider = "refusing")
    public void aServiceWhoseEndpointsAllNameARetryAfterRefusesAtOnce(String route, String service) throws Exception {
        try (RelayStatementFleet fleet = new RelayStatementFleet(service, 1)) {
            fleet.awaitUsed(route);
            fleet.tested().shed(SECONDS);
            fleet.other().shed(SECONDS);
            fleet.send(route).join();
            fleet.send(route).join();
            long fromMs = RelayStatementFleet.nowMs();
            RelayBox.Reply reply = fleet.send(route).join();
            assertTrue(RelayStatementFleet.nowMs() - fromMs < AT_ONCE_MS);
            assertEquals(reply.status(), 503);
            double seconds = Double.parseDouble(reply.header("Retry-After"));
            assertTrue(seconds > LONGEST_SECONDS / 2 && seconds < 2 * LONGEST_SECONDS, "Retry-After " + seconds);
            fleet.sendFor(route, PLAYED_MS);
            assertRestsKept(fleet);
            fleet.tested().takeRequests();
            fleet.other().takeRequests();
            Awaitility.await().until(() -> fleet.send(route).join().status() == 200);
        }
    }

    /** Repeats of one request don't wait out a time that the caller has not got. */
    @Test
    public void aRestLongerThanTheDeadlineIsNotWaitedFor() throws Exception {
        try (RelayStatementFleet fleet = new RelayStatementFleet("plain", 1)) {
            fleet.awaitUsed("once");
            fleet.tested().shed("1e9");
            fleet.other().shed("1e9");
            Awaitility.await().until(() -> {
                fleet.send("once").join();
                return fleet.log().restsAskedBy("tested") > 0 && fleet.log().restsAskedBy("other") > 0;
            });
            long fromMs = RelayStatementFleet.nowMs();
            assertEquals(fleet.send("once").join().status(), 503);
            assertTrue(RelayStatementFleet.nowMs() - fromMs < AT_ONCE_MS);
            assertFalse(fleet.log().restsAskedBy("tested") > StatementLog.MOST_WITHIN_REST);
        }
    }
}
