package org.wingstall.gateway.run;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.queue.WaitEstimator;
import org.wingstall.core.queue.WaitQueue;
import org.wingstall.core.route.Candidate;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.route.Routers;
import org.wingstall.schema.settings.Policy;

/** An endpoint that had ended was chosen until several calls in a row had failed there. */
public class EndpointInDoubtTest {
    private static final int EJECT_AFTER_FAILURES = 3;

    private final Policy policy = new Policy();
    private EndpointState lost;
    private EndpointState other;
    private ServiceGate gate;
    private List<String> granted;

    private static EndpointState endpoint(String id) {
        return new EndpointState(
                new EndpointIdentity(id, 1, "d", "s", "c", new InetSocketAddress("127.0.0.1", 1)), System::nanoTime);
    }

    @BeforeMethod
    public void begin() {
        granted = new ArrayList<>();
        lost = endpoint("lost");
        other = endpoint("other");
        gate = new ServiceGate(
                () -> List.of(new Candidate(lost, 1, 1, 1), new Candidate(other, 1, 1, 1)),
                Routers.of(policy, new Random(1)),
                "d",
                true,
                WaitQueue.of(policy),
                WaitEstimator.of(policy, System::nanoTime));
        lost.recordConnectionLost();
    }

    private void request() {
        gate.request(new TestWaiter(5) {
            @Override
            public void granted(EndpointState endpoint) {
                granted.add(endpoint.identity().memberId());
            }

            @Override
            public void noEndpoint() {
                granted.add("none");
            }
        });
    }

    @Test
    public void endpointInDoubtGetsNoWorkWhileAnotherServes() {
        request();
        request();
        assertEquals(granted, List.of("other"));
        other.release();
        gate.drain();
        assertEquals(granted, List.of("other", "other"));
    }

    @Test
    public void endpointsInDoubtGetWorkWhenThereAreNoOthers() {
        other.recordConnectionLost();
        request();
        request();
        assertEquals(granted.size(), 2);
        assertEquals(granted.contains("none"), false);
    }

    @DataProvider
    Object[][] refutations() {
        return new Object[][] {
            {"success", (Consumer<EndpointState>) endpoint -> endpoint.recordSuccess(1)},
            {"probe", (Consumer<EndpointState>) EndpointState::recordProbeSuccess},
            {"rejected probe", (Consumer<EndpointState>) EndpointState::recordProbeRejected},
        };
    }

    @Test(dataProvider = "refutations")
    public void endpointThatRespondsGetsWorkAgain(String name, Consumer<EndpointState> refute) {
        refute.accept(lost);
        request();
        request();
        assertEquals(List.copyOf(new TreeSet<>(granted)), List.of("lost", "other"), name);
    }

    @Test
    public void probeWithoutResponseEjectsAnEndpointInDoubtOnly() {
        lost.recordProbeFailure();
        other.recordProbeFailure();
        assertEquals(lost.ejected(), true);
        assertEquals(other.ejected(), false);
    }

    /** An endpoint that answers probes and loses every call must still be ejected. */
    @Test
    public void answeredProbesDoNotResetConsecutiveFailures() {
        for (int i = 0; i < EJECT_AFTER_FAILURES; i++) {
            lost.recordConnectionLost();
            lost.recordFailure(EJECT_AFTER_FAILURES);
            assertEquals(lost.ejected(), i == EJECT_AFTER_FAILURES - 1);
            if (!lost.ejected()) {
                lost.recordProbeSuccess();
            }
        }
    }
}
