package org.wingstall.relay.run;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.relay.config.RegionRestriction;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.log.RequestLog;
import org.wingstall.relay.wire.RelayRequest;

/** Lines of refused requests used up the lines of all others. */
public class RequestLogTest {
    private static final int FLOOD = 1000;

    private final RelayMetrics metrics = new RelayMetrics();
    private long nowMs;
    private RequestLog log;

    @BeforeMethod
    public void start() {
        nowMs = 10_000;
        log = new RequestLog(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), metrics, () -> 0);
        nowMs += 1000;
    }

    private void reject() {
        log.logRejected("r", "/x", new RefusedException(Reason.UNKNOWN_ROUTE, "no route", 0), 7);
    }

    private void logRequest() {
        RelayRequest request = new RelayRequest(
                "r",
                "GET",
                "host",
                "/x",
                "/x",
                new DefaultHttpHeaders(),
                new byte[0],
                1000,
                null,
                null,
                List.of(),
                0,
                0,
                List.of(),
                null,
                null,
                "");
        Route route = new Route(
                "route",
                "host",
                "/",
                Route.Kind.IDEMPOTENT,
                false,
                false,
                1,
                1000,
                1000,
                1,
                List.of(),
                List.of(),
                RegionRestriction.UNRESTRICTED);
        log.logRequest(new RequestLogEntry(request, route, "canteen", 7, nowMs), "complete", 200, null, nowMs);
    }

    private boolean drops(Runnable line) {
        String before = dropped();
        line.run();
        return !dropped().equals(before);
    }

    private String dropped() {
        return metrics.scrape()
                .lines()
                .filter(line -> line.startsWith("wingstall_log_lines_dropped"))
                .findFirst()
                .orElse("");
    }

    @Test
    public void aFloodOfRefusalsDropsNoLineOfAnotherKind() {
        for (int i = 0; i < FLOOD; i++) {
            reject();
        }
        assertTrue(drops(this::reject));
        assertFalse(drops(this::logRequest));
    }
}
