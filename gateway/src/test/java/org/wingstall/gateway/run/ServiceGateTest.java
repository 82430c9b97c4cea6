package org.wingstall.gateway.run;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import org.wingstall.core.queue.WaitEstimator;
import org.wingstall.core.queue.WaitQueue;
import org.wingstall.core.route.Candidate;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.route.Routers;
import org.wingstall.schema.settings.Policy;

public class ServiceGateTest {
    private final EndpointState endpoint = new EndpointState(
            new EndpointIdentity("e", 1, "d", "s", "c", new InetSocketAddress("127.0.0.1", 1)), System::nanoTime);
    private final Policy policy = new Policy();
    private final ServiceGate gate = new ServiceGate(
            () -> List.of(new Candidate(endpoint, 1, 1, 1)),
            Routers.of(policy, new Random(1)),
            "d",
            true,
            WaitQueue.of(policy),
            WaitEstimator.of(policy, System::nanoTime));
    private final List<Integer> served = new ArrayList<>();

    /** A stage that holds its slot, or gives it back as soon as it has it, as one that can't land any more does. */
    private final class CountedWaiter extends TestWaiter {
        private final boolean holds;
        private int noEndpoints;

        CountedWaiter(int precedence, boolean holds) {
            super(precedence);
            this.holds = holds;
        }

        @Override
        public void granted(EndpointState granted) {
            served.add(precedence());
            if (!holds) {
                granted.release();
                gate.drain();
            }
        }

        @Override
        public void noEndpoint() {
            noEndpoints++;
        }
    }

    @Test
    public void manyWaitersThatGiveTheirSlotBackAtOnceDontNest() {
        gate.request(new CountedWaiter(5, true));
        int waiters = 50_000;
        for (int i = 0; i < waiters; i++) {
            gate.request(new CountedWaiter(5, false));
        }
        endpoint.release();
        gate.drain();
        assertEquals(served.size(), waiters + 1);
        assertEquals(gate.waiting(), 0);
        assertEquals(endpoint.inFlight(), 0);
    }

    @Test(dependsOnMethods = "manyWaitersThatGiveTheirSlotBackAtOnceDontNest")
    public void waitersAreServedByPrecedenceAndToldWhenNoEndpointIsLeft() {
        served.clear();
        gate.request(new CountedWaiter(9, true));
        gate.request(new CountedWaiter(1, false));
        gate.request(new CountedWaiter(7, false));
        endpoint.release();
        gate.drain();
        assertEquals(served, List.of(9, 7, 1));
        endpoint.markLeaving();
        CountedWaiter late = new CountedWaiter(3, false);
        gate.request(late);
        assertEquals(late.noEndpoints, 1);
    }
}
