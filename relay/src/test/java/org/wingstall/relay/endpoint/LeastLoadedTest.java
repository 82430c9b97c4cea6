package org.wingstall.relay.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.platform.Member;

public class LeastLoadedTest {
    private static final int REQUESTS = 1000;

    private final LeastLoaded chooser = new LeastLoaded("d0", new Random(1));
    private RelayEndpoint first;
    private RelayEndpoint second;

    @BeforeMethod
    public void listEndpoints() {
        RelayEndpoints endpoints = new RelayEndpoints(System::nanoTime);
        endpoints.applyList(List.of(member("e1"), member("e2")));
        first = endpoints.ofService("plain").get(0);
        second = endpoints.ofService("plain").get(1);
    }

    private static Member member(String id) {
        return new Member(id, Member.Kind.ENDPOINT, "d0", "127.0.0.1:9", "plain", "v1", Member.State.LIVE, 1, 4, 0);
    }

    /** Returns the fraction of requests that the second endpoint gets while nothing is in flight. */
    private double fractionOfSecond() {
        long chosen = 0;
        for (int i = 0; i < REQUESTS; i++) {
            chosen += chooser.choose(List.of(first, second), null) == second ? 1 : 0;
        }
        return chosen / (double) REQUESTS;
    }

    @DataProvider
    Object[][] shortRuns() {
        return new Object[][] {{0.5, 3}, {1, 4.5}, {2, 2}};
    }

    /**
     * Guards against starving an endpoint: one whose few calls each opened a connection got no requests of a service
     * that responds within a few ms.
     */
    @Test(dataProvider = "shortRuns")
    public void endpointsThatDifferByTheTimeOfAConnectionShareTheRequests(double firstMs, double secondMs) {
        first.state().recordSuccess(firstMs);
        second.state().recordSuccess(secondMs);
        assertEquals(fractionOfSecond(), 0.5, 0.1);
    }

    @Test
    public void anEndpointThatTakesTwiceAsLongGetsNothingWhileTheOtherIsIdle() {
        first.state().recordSuccess(50);
        second.state().recordSuccess(100);
        assertEquals(fractionOfSecond(), 0.0);
        for (int i = 0; i < 8; i++) {
            assertTrue(first.state().tryAcquire(8));
        }
        assertEquals(fractionOfSecond(), 1.0);
    }
}
