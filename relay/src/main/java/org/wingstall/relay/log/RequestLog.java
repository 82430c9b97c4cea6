package org.wingstall.relay.log;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.core.limit.TokenBucket;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.BodyEnd;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.run.RequestLogEntry;

/**
 * Writes one log line for each request; limited in rate, so that a burst costs log lines rather than processor time.
 *
 * <p>{@code log.logRequest(record, "complete", 200, null, nowMs);}
 *
 * @since 0.2
 */
public final class RequestLog {
    private static final Logger LOG = LogManager.getLogger(RequestLog.class);

    private final Map<Kind, TokenBucket> buckets = new EnumMap<>(Kind.class);
    private final RelayMetrics metrics;
    private final LongSupplier configAgeMs;

    /** Kinds of lines, each with a share of its own, so that a flood of one kind hides no line of another. */
    private enum Kind {
        /** Several times a box's requests in a burst; all kinds cost about a hundredth of a core. */
        REQUEST(60),
        ENDPOINT_LOST(20),
        TURNED_AWAY(20);

        private final double linesPerSecond;

        Kind(double linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }
    }

    /**
     * Creates a log.
     *
     * @param clock monotonic clock
     * @param metrics counts dropped lines
     * @param configAgeMs time since the configuration was confirmed, in ms
     */
    public RequestLog(MonotonicClock clock, RelayMetrics metrics, LongSupplier configAgeMs) {
        for (Kind kind : Kind.values()) {
            buckets.put(kind, new TokenBucket(clock));
        }
        this.metrics = metrics;
        this.configAgeMs = configAgeMs;
    }

    /** Logs the end of a request that had a route. */
    public void logRequest(RequestLogEntry record, String outcome, int status, String detail, long nowMs) {
        if (!tryAcquireLine(Kind.REQUEST)) {
            return;
        }
        LogEvent.info("request")
                .with("requestId", record.requestId())
                .with("fingerprint", record.fingerprint())
                .with("route", record.route())
                .with("workspace", record.workspace())
                .with("outcome", outcome)
                .with("status", status)
                .with("detail", detail)
                .with("tookMs", nowMs - record.arrivedMs())
                .with("resumes", record.resumes())
                .with("stagesMs", record.stagesMs())
                .with("stages", record.stages())
                .with("firstByteMs", record.firstByteMs())
                .with("attempts", record.attempts())
                .with("configVersion", record.configVersion())
                .to(LOG);
    }

    /** Logs an attempt whose connection ended before the response was complete. */
    public void logEndpointLoss(RequestLogEntry record, EndpointLoss loss) {
        metrics.recordEndpointLoss(loss.failure().kind().code());
        if (!tryAcquireLine(Kind.ENDPOINT_LOST)) {
            return;
        }
        LogEvent.warn("endpoint-lost")
                .with("requestId", record.requestId())
                .with("fingerprint", record.fingerprint())
                .with("promptParts", record.promptParts())
                .with("endpoint", loss.endpoint().id())
                .with("service", loss.endpoint().identity().service())
                .with("address", loss.endpoint().identity().address())
                .with("sentMsAgo", loss.sentMsAgo())
                .with("headMsAgo", loss.headMsAgo())
                .with("othersThere", loss.endpoint().state().inFlight())
                .with("why", loss.failure().getMessage())
                .to(LOG);
    }

    /** Records how an endpoint's stream ended; logged with its request. */
    public void recordStreamEnd(RequestLogEntry record, BodyEnd end, int events, int unfinishedBytes) {
        record.streamEnded(end.code(), events, unfinishedBytes);
        metrics.recordStreamEnd(end.code(), events, unfinishedBytes);
    }

    /** Logs a request that was refused before its run started. */
    public void logRejected(String requestId, String target, RefusedException refusal, long configVersion) {
        if (!tryAcquireLine(Kind.TURNED_AWAY)) {
            return;
        }
        LogEvent.info("turned-away")
                .with("requestId", requestId)
                .with("target", target)
                .with("reason", refusal.reason().code())
                .with("detail", refusal.getMessage())
                .with("configVersion", configVersion)
                .with("configAgeMs", configAgeMs.getAsLong())
                .to(LOG);
    }

    private boolean tryAcquireLine(Kind kind) {
        boolean allowed = buckets.get(kind).tryTake(kind.linesPerSecond);
        if (!allowed) {
            metrics.recordDroppedLogLine();
        }
        return allowed;
    }
}
