package org.wingstall.relay.endpoint;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.platform.Member;

/** Checks how long a stated slowdown factor is valid. */
public class StatedSlowdownTest {
    private long nowMs = 10_000;

    private RelayEndpoint endpoint() {
        RelayEndpoints endpoints = new RelayEndpoints(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        endpoints.applyList(List.of(new Member(
                "a", Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "plain", "v1", Member.State.LIVE, 1, 4, 0)));
        return endpoints.find("a").orElseThrow();
    }

    @Test
    public void endpointThatStatesNothingHasNoFactor() {
        assertEquals(endpoint().statedSlowdown(), OptionalDouble.empty());
    }

    /** Age of the statement, and the factor that applies. */
    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{0, OptionalDouble.of(5)}, {1000, OptionalDouble.of(5)}, {1001, OptionalDouble.empty()}};
    }

    /** Guards against an endpoint that counts as slow because it said so long ago. */
    @Test(dataProvider = "ages")
    public void statementIsValidForASecond(long ageMs, OptionalDouble expected) {
        RelayEndpoint endpoint = endpoint();
        endpoint.recordStatedSlowdown(5);
        nowMs += ageMs;
        assertEquals(endpoint.statedSlowdown(), expected);
    }
}
