package org.wingstall.relay.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.wire.AdvertisedLimit;
import org.wingstall.relay.wire.EndpointStatement;
import org.wingstall.relay.wire.ResponseHead;
import org.wingstall.schema.peer.RejectionNews;
import org.wingstall.schema.platform.Member;

/** All boxes spare an endpoint whose rejections come near what it bears, and pass each rejection on once. */
public class RejectionGuardTest {
    private static final int MAX_REJECTIONS = 4;
    private static final int REJECTED = 503;
    private static final int SERVED = 200;

    private final List<RejectionNews> told = new ArrayList<>();
    private long nowMs;
    private RelayEndpoint endpoint;
    private RejectionGuard guard;

    @BeforeMethod
    public void create() {
        nowMs = 10_000;
        told.clear();
        RelayEndpoints endpoints = new RelayEndpoints(this::nowNs);
        endpoints.applyList(List.of(new Member(
                "a", Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "plain", "v1", Member.State.LIVE, 1, 4, 0)));
        endpoint = endpoints.find("a").orElseThrow();
        guard = new RejectionGuard("box-1", endpoints, this::nowNs, new Random(1), (news, except) -> told.add(news));
    }

    private long nowNs() {
        return TimeUnit.MILLISECONDS.toNanos(nowMs);
    }

    private void respond(int status, OptionalInt maxRejections) {
        EndpointStatement statement = new EndpointStatement(
                OptionalInt.empty(), AdvertisedLimit.NONE, false, maxRejections, OptionalLong.empty());
        guard.record(
                endpoint,
                new ResponseHead(
                        status, "r", "seal", status == REJECTED, false, false, statement, new DefaultHttpHeaders()));
    }

    private static RejectionNews news(String box, long number) {
        return new RejectionNews("a", 1, MAX_REJECTIONS, box, number);
    }

    @Test
    public void aRejectionIsToldAndTheBoxPauses() {
        respond(REJECTED, OptionalInt.of(MAX_REJECTIONS));
        assertEquals(told.size(), 1);
        assertTrue(endpoint.closedForMs() > 0);
    }

    @Test
    public void rejectionsOfAllBoxesCount() {
        guard.receive("box-2", news("box-2", 1));
        guard.receive("box-3", news("box-3", 1));
        nowMs += 300;
        assertEquals(endpoint.closedForMs(), 0);
        guard.receive("box-2", news("box-2", 2));
        assertTrue(endpoint.closedForMs() >= 700, "closed for " + endpoint.closedForMs());
    }

    @Test
    public void newsArePassedOnOnce() {
        guard.receive("box-2", news("box-3", 7));
        guard.receive("box-4", news("box-3", 7));
        guard.receive("box-4", news("box-1", 9));
        assertEquals(told.size(), 1);
    }

    /** Rejections of a box that had started again with its clock set back were ignored. */
    @Test
    public void lowerNumbersOfABoxThatStartedAgainCount() {
        guard.receive("box-2", news("box-2", 5000));
        guard.receive("box-2", news("box-2", 3000));
        guard.receive("box-3", news("box-2", 5000));
        guard.receive("box-2", news("box-2", 3001));
        assertEquals(told.stream().map(RejectionNews::getNumber).toList(), List.of(5000L, 3000L, 3001L));
        assertTrue(endpoint.closedForMs() >= 700, "closed for " + endpoint.closedForMs());
    }

    @DataProvider
    Object[][] harmless() {
        return new Object[][] {{SERVED, OptionalInt.of(MAX_REJECTIONS)}, {REJECTED, OptionalInt.empty()}};
    }

    @Test(dataProvider = "harmless")
    public void otherResponsesCauseNoPause(int status, OptionalInt maxRejections) {
        respond(status, maxRejections);
        assertEquals(told, List.of());
        assertEquals(endpoint.closedForMs(), 0);
    }

    @Test
    public void aBrittleEndpointGetsAsManyRequestsAsItHasAnswered() {
        respond(SERVED, OptionalInt.of(MAX_REJECTIONS));
        endpoint.state().tryAcquire(Integer.MAX_VALUE);
        assertTrue(endpoint.closedForMs() > 0, "a second request before the first is answered");
        endpoint.state().release();
        endpoint.recordAnswer(1);
        endpoint.state().tryAcquire(Integer.MAX_VALUE);
        assertEquals(endpoint.closedForMs(), 0);
        respond(SERVED, OptionalInt.empty());
        endpoint.state().tryAcquire(Integer.MAX_VALUE);
        assertEquals(endpoint.closedForMs(), 0);
    }
}
