package org.wingstall.core.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class RouterTest {
    private static final long[] NONE = {};
    private long nowMs;

    private EndpointState endpoint(String id) {
        EndpointIdentity identity = new EndpointIdentity(id, 1, "d", "s", "c", new InetSocketAddress("127.0.0.1", 1));
        return new EndpointState(identity, () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private static Candidate candidate(EndpointState endpoint) {
        return new Candidate(endpoint, 8, 8, 1);
    }

    private static Router expectedTimeRouter() {
        return new ExpectedTimeRouter(new Random(1), true, 2);
    }

    @Test
    public void choosesFasterOfTwoIdleEndpoints() {
        EndpointState slow = endpoint("slow");
        EndpointState fast = endpoint("fast");
        slow.recordSuccess(90);
        fast.recordSuccess(30);
        Router router = expectedTimeRouter();
        assertEquals(router.choose(List.of(candidate(slow), candidate(fast)), new RouteRequest("d", 50, NONE)), fast);
    }

    @Test
    public void promptSentToAllEndpointsGivesNoCredit() {
        String prompt = "shared ".repeat(200);
        EndpointState busy = endpoint("busy");
        EndpointState idle = endpoint("idle");
        busy.recordSuccess(40);
        idle.recordSuccess(40);
        busy.prefixes().recordSent(PromptBlocks.digests(prompt));
        idle.prefixes().recordSent(PromptBlocks.digests(prompt));
        assertTrue(busy.tryAcquire(8));
        RouteRequest request = new RouteRequest("d", 40, PromptBlocks.digests(prompt));
        assertEquals(expectedTimeRouter().choose(List.of(candidate(busy), candidate(idle)), request), idle);
    }

    @Test
    public void choosesBusierEndpointWithWarmPrompt() {
        String prompt = "session seven ".repeat(400);
        EndpointState warm = endpoint("warm");
        EndpointState cold = endpoint("cold");
        warm.recordSuccess(40);
        cold.recordSuccess(40);
        warm.prefixes().recordSent(PromptBlocks.digests(prompt));
        assertTrue(warm.tryAcquire(8));
        RouteRequest request = new RouteRequest("d", 40, PromptBlocks.digests(prompt));
        assertEquals(expectedTimeRouter().choose(List.of(candidate(warm), candidate(cold)), request), warm);
    }

    @Test
    public void reportedLoadOfOtherGatewaysDecaysWithAge() {
        EndpointState state = endpoint("e");
        state.recordReportedLoad(8);
        assertEquals(state.estimatedLoad(), 8.0, 0.01);
        nowMs += 2000;
        assertEquals(state.estimatedLoad(), 2.0, 0.01);
    }

    @Test
    public void consecutiveFailuresEjectAndSuccessReadmits() {
        EndpointState state = endpoint("e");
        assertFalse(state.recordFailure(2));
        assertTrue(state.recordFailure(2));
        assertFalse(state.serving());
        state.recordSuccess(5);
        assertTrue(state.serving());
    }

    @Test
    public void windowIsNeverExceeded() {
        EndpointState state = endpoint("e");
        assertTrue(state.tryAcquire(2));
        assertTrue(state.tryAcquire(2));
        assertFalse(state.tryAcquire(2));
        state.release();
        assertTrue(state.tryAcquire(2));
    }
}
