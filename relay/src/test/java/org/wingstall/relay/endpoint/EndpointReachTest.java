package org.wingstall.relay.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.platform.Member;

/** Services are poorly reached while fewer than half of their endpoints respond. */
public class EndpointReachTest {
    private static final long BETTER_AFTER_MS = 1000;

    private long nowMs;
    private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMs);
    private final RelayEndpoints endpoints = new RelayEndpoints(clock);
    private final EndpointReach reach = new EndpointReach(endpoints, RelayEndpoint::responding, clock);

    private static Member ready(String id) {
        return new Member(id, Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "plain", "v1", Member.State.LIVE, 1, 4, 0);
    }

    @DataProvider
    public Object[][] unresponsive() {
        return new Object[][] {{0, false}, {1, false}, {2, false}, {3, true}, {4, true}};
    }

    @Test(dataProvider = "unresponsive")
    public void aServiceIsPoorlyReachedWhileFewerThanHalfRespond(int unresponsive, boolean poor) {
        List<Member> members = List.of(ready("a"), ready("b"), ready("c"), ready("d"));
        endpoints.applyList(members);
        members.stream()
                .limit(unresponsive)
                .forEach(member ->
                        endpoints.find(member.getMemberId()).orElseThrow().recordNoAnswer("cut off"));
        assertEquals(reach.update(), poor);
        assertEquals(reach.poorlyReached(), poor ? Set.of("plain") : Set.of());
        assertEquals(reach.reachedEndpoints(), 4 - unresponsive);
        endpoints.all().forEach(endpoint -> endpoint.recordAnswer(1));
        assertFalse(reach.update());
        nowMs += BETTER_AFTER_MS;
        assertEquals(reach.update(), poor);
        assertTrue(reach.poorlyReached().isEmpty());
    }

    @Test
    public void aServiceWithoutEndpointsIsNotPoorlyReached() {
        endpoints.applyList(List.of());
        assertFalse(reach.update());
        assertTrue(reach.poorlyReached().isEmpty());
    }

    @Test
    public void endpointsThatRespondForAMomentDoNotCount() {
        endpoints.applyList(List.of(ready("a")));
        RelayEndpoint endpoint = endpoints.find("a").orElseThrow();
        endpoint.recordNoAnswer("cut off");
        assertTrue(reach.update());
        for (int i = 0; i < 10; i++) {
            nowMs += BETTER_AFTER_MS / 2;
            endpoint.recordAnswer(1);
            assertFalse(reach.update());
            nowMs += BETTER_AFTER_MS / 4;
            endpoint.recordNoAnswer("cut off");
            assertFalse(reach.update());
        }
    }
}
