package org.wingstall.relay.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.platform.Member;

/** Streams were refused although the last endpoint of their version had only just begun to leave. */
public class LeavingGraceTest {
    private static final long GRACE_MS = 1000;

    private long nowMs;
    private RelayEndpoints endpoints;

    @BeforeMethod
    public void create() {
        nowMs = 0;
        endpoints = new RelayEndpoints(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private RelayEndpoint list(Member.State state) {
        endpoints.applyList(
                List.of(new Member("a", Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "llm", "v1", state, 1, 4, 0)));
        return endpoints.find("a").orElseThrow();
    }

    /** Time since the list was last read when it says that the endpoint leaves, time from there on, and what holds. */
    @DataProvider
    Object[][] times() {
        return new Object[][] {{0, 0, true}, {0, 999, true}, {0, 1000, false}, {400, 500, true}, {400, 600, false}};
    }

    @Test(dataProvider = "times")
    public void theGraceRunsFromTheListThatDidNotSayItYet(long unreadMs, long laterMs, boolean expected) {
        list(Member.State.LIVE);
        nowMs += unreadMs;
        list(Member.State.LEAVING);
        nowMs += laterMs;
        assertEquals(list(Member.State.LEAVING).leavingWithin(GRACE_MS), expected);
    }

    @Test
    public void anEndpointThatLeftBeforeTheFirstListHasNoGrace() {
        assertFalse(list(Member.State.LEAVING).leavingWithin(GRACE_MS));
    }

    @Test
    public void anEndpointThatSaysItselfThatItLeavesHasNoGrace() {
        list(Member.State.LIVE);
        RelayEndpoint endpoint = list(Member.State.LEAVING);
        assertTrue(endpoint.leavingWithin(GRACE_MS));
        endpoints.markLeaving(endpoint, "an answer");
        assertFalse(endpoint.leavingWithin(GRACE_MS));
    }

    @Test
    public void anEndpointThatServesOnIsNotLeaving() {
        assertFalse(list(Member.State.LIVE).leavingWithin(GRACE_MS));
    }
}
