package org.wingstall.relay.log;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wingstall.core.answer.Reason;
import org.wingstall.net.SheddingGate;

/**
 * Counters and timers of a box that relays requests.
 *
 * <p>{@code metrics.recordRefusal(Reason.NO_ENDPOINT); String text = metrics.scrape();}
 *
 * @since 0.2
 */
public final class RelayMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<Reason, Counter> outcomes = new EnumMap<>(Reason.class);
    private final Map<String, Counter> retries = new ConcurrentHashMap<>();
    private final Map<String, Counter> retryTimes = new ConcurrentHashMap<>();
    private final Map<String, Counter> losses = new ConcurrentHashMap<>();
    private final Map<String, Counter> engineChoices = new ConcurrentHashMap<>();
    private final Map<String, Counter> stateQueries = new ConcurrentHashMap<>();
    private final Map<String, Counter> limitedEndpoints = new ConcurrentHashMap<>();
    private final Map<String, Counter> statements = new ConcurrentHashMap<>();
    private final Map<String, Counter> streamEnds = new ConcurrentHashMap<>();
    private final Map<String, Counter> resumedStreams = new ConcurrentHashMap<>();
    private final Counter droppedStreamOrigins = registry.counter("wingstall.stream.origins.dropped");
    private final Map<String, Counter> droppedResponses = new ConcurrentHashMap<>();
    private final Counter droppedLogLines = registry.counter("wingstall.log.lines.dropped");
    private final Timer successTime =
            Timer.builder("wingstall.request.time").publishPercentileHistogram().register(registry);
    private final Timer loopDelay =
            Timer.builder("wingstall.loop.delay").publishPercentileHistogram().register(registry);
    private final Timer failureTime = Timer.builder("wingstall.request.failed.time")
            .publishPercentileHistogram()
            .register(registry);

    /** Registers the counters of all reasons, so that each is exported from the start. */
    public RelayMetrics() {
        for (Reason reason : Reason.values()) {
            String outcome = reason.outcome().value();
            outcomes.put(reason, registry.counter("wingstall.outcomes", "outcome", outcome, "reason", reason.code()));
        }
    }

    /** Returns all metrics in the text format of Prometheus. */
    public String scrape() {
        return registry.scrape();
    }

    /** Returns an observer that counts the connections of callers by what becomes of them. */
    public SheddingGate.Observer connections() {
        return new ConnectionMetrics(registry);
    }

    /** Records how late a periodic task of the request loop ran, in ms. */
    public void recordLoopDelay(long lateMs) {
        loopDelay.record(lateMs, TimeUnit.MILLISECONDS);
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /** Records a response of an endpoint that was forwarded to the caller. */
    public void recordCompleted(int status, long tookMs) {
        Timer timer = status / 100 == 2 ? successTime : failureTime;
        timer.record(tookMs, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of successful responses that were forwarded to callers. */
    public long successes() {
        return successTime.count();
    }

    /** Counts a request that got no response of an endpoint. */
    public void recordRefusal(Reason reason) {
        outcomes.get(reason).increment();
    }

    /** Counts a refusal by the pool of a stage, by whether capacity is reserved for the caller's return. */
    public void recordRetryTime(boolean scheduled) {
        retryTimes
                .computeIfAbsent(
                        scheduled ? "scheduled" : "estimated",
                        name -> registry.counter("wingstall.stage.retry.times", "kind", name))
                .increment();
    }

    /** Counts a request that is sent to another endpoint. */
    public void recordRetry(String why) {
        retries.computeIfAbsent(why, name -> registry.counter("wingstall.retries", "reason", name))
                .increment();
    }

    /**
     * Counts a request that an endpoint may have run and that got no complete response, by how its connection ended.
     */
    public void recordEndpointLoss(String kind) {
        losses.computeIfAbsent(kind, name -> registry.counter("wingstall.endpoint.losses", "kind", name))
                .increment();
    }

    /** Counts an engine selection, by who made it and why. */
    public void recordEngineChoice(String by) {
        engineChoices
                .computeIfAbsent(by, name -> registry.counter("wingstall.engine.choices", "by", name))
                .increment();
    }

    /** Counts a query of the state of an endpoint, by its purpose. */
    public void recordStateQuery(String purpose) {
        stateQueries
                .computeIfAbsent(purpose, name -> registry.counter("wingstall.endpoint.questions", "purpose", name))
                .increment();
    }

    /** Counts an endpoint that a selection left out because its share is used up, by the cause of the limit. */
    public void recordLimitedEndpoint(String cause) {
        limitedEndpoints
                .computeIfAbsent(cause, name -> registry.counter("wingstall.endpoint.held.back", "cause", name))
                .increment();
    }

    /** Counts a response in which an endpoint stated that it leaves or is to be spared, by what it stated. */
    public void recordStatement(String kind) {
        statements
                .computeIfAbsent(kind, name -> registry.counter("wingstall.endpoint.statements", "kind", name))
                .increment();
    }

    /** Counts the end of an endpoint's stream, by how it was recognised and where in the stream it came. */
    public void recordStreamEnd(String end, int events, int unfinishedBytes) {
        String position = unfinishedBytes > 0 ? "inside-event" : events == 0 ? "no-event" : "after-event";
        streamEnds
                .computeIfAbsent(
                        end + position,
                        name -> registry.counter("wingstall.streams.ended", "end", end, "position", position))
                .increment();
    }

    /** Counts a stream that a caller resumes, by how the software version that began it was learnt. */
    public void recordStreamResumed(String source) {
        resumedStreams
                .computeIfAbsent(source, name -> registry.counter("wingstall.streams.resumed", "source", name))
                .increment();
    }

    /** Counts the origin of a stream that was dropped before its time, for want of room. */
    public void recordDroppedStreamOrigin() {
        droppedStreamOrigins.increment();
    }

    /** Counts a response that was dropped, by why it is not the response to its request. */
    public void recordDroppedResponse(String reason) {
        droppedResponses
                .computeIfAbsent(reason, name -> registry.counter("wingstall.answers.dropped", "reason", name))
                .increment();
    }

    /** Counts a log line that the rate limit dropped. */
    public void recordDroppedLogLine() {
        droppedLogLines.increment();
    }
}
