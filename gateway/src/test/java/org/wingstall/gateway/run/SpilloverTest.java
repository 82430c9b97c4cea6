package org.wingstall.gateway.run;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.queue.WaitEstimator;
import org.wingstall.core.queue.WaitQueue;
import org.wingstall.core.route.Candidate;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.route.Routers;
import org.wingstall.schema.settings.Policy;

public class SpilloverTest {
    private static final int SLOTS = 4;

    private final Policy policy = new Policy();

    private static EndpointState endpoint(String id, String domain) {
        return new EndpointState(
                new EndpointIdentity(id, 1, domain, "s", "c", new InetSocketAddress("127.0.0.1", 1)), System::nanoTime);
    }

    @DataProvider
    Object[][] reports() {
        return new Object[][] {
            {"the other domain says nothing of its load", 0, List.of("near", "far", "far")},
            {"it has one slot to spare", SLOTS - 1, List.of("near", "far")},
            {"it has none", SLOTS, List.of("near")},
        };
    }

    @Test(dataProvider = "reports")
    public void callsSpillOverOnlyIntoRoomThatTheOtherDomainSaysItHas(
            String name, int reported, List<String> expected) {
        EndpointState near = endpoint("near", "here");
        EndpointState far = endpoint("far", "there");
        if (reported > 0) {
            far.recordReportedLoad(reported);
        }
        ServiceGate gate = new ServiceGate(
                () -> List.of(new Candidate(near, 1, SLOTS, 1), new Candidate(far, 2, SLOTS, 1)),
                Routers.of(policy, new Random(1)),
                "here",
                true,
                WaitQueue.of(policy),
                WaitEstimator.of(policy, System::nanoTime));
        List<String> granted = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            gate.request(new HoldingWaiter(granted));
        }
        assertEquals(granted, expected, name);
        assertEquals(gate.waiting(), 4 - expected.size());
    }

    /** Takes a slot and keeps it. */
    private static final class HoldingWaiter extends TestWaiter {
        private final List<String> granted;

        HoldingWaiter(List<String> granted) {
            super(5);
            this.granted = granted;
        }

        @Override
        public void granted(EndpointState endpoint) {
            granted.add(endpoint.identity().memberId());
        }

        @Override
        public void noEndpoint() {
            throw new AssertionError("there are endpoints");
        }
    }
}
