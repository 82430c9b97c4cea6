package org.wingstall.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wingstall.core.answer.Reason;
import org.wingstall.schema.caller.StageCost;

/**
 * The counters, timers and gauges of a gateway.
 *
 * <p>{@code metrics.refused(Reason.WORKSPACE_LIMIT); String text = metrics.scrape();}
 *
 * @since 0.1
 */
public final class Metrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Counter complete;
    private final Map<Reason, Counter> reasons = new EnumMap<>(Reason.class);
    private final Map<String, Counter> hedges = new ConcurrentHashMap<>();
    private final Map<String, Counter> retries = new ConcurrentHashMap<>();
    private final Map<String, StageMeters> stages = new ConcurrentHashMap<>();
    private final DistributionSummary claimBatch;
    private final Counter claimsForwarded;
    private final Counter claimReadBacks;
    private final Counter claimsAbandoned;
    private final Counter claimOverflows;
    private final Counter repeated;
    private final Counter answersDropped;
    private final Counter ejections;
    private final Counter timeoutsKept;
    private final Map<ListSource, Counter> memberLists = new EnumMap<>(ListSource.class);
    private final Map<OrderResult, Counter> engineOrders = new EnumMap<>(OrderResult.class);
    private final Counter rowsRejected;
    private final Timer requestTime;

    /** What became of an order to an engine. */
    public enum OrderResult {
        /** The engine took it. */
        ACCEPTED,
        /** The engine has seen a higher token. */
        REFUSED,
        /** The engine answered with another failure. */
        FAILED,
        /** No answer came. */
        UNANSWERED,
        /** Too little was left of the lease, so it was not sent. */
        WITHHELD
    }

    private record StageMeters(Counter runMs, Counter wastedMs, Counter tokens, Counter calls) {}

    /** Where a state of the membership list came from. */
    public enum ListSource {
        /** This box read it. */
        PLATFORM,
        /** A peer read it and passed it on. */
        PEER
    }

    /** Creates all meters at zero, so that every reason shows from the start. */
    public Metrics() {
        complete = registry.counter("wingstall.outcomes", "outcome", "complete", "reason", "none");
        for (Reason reason : Reason.values()) {
            reasons.put(
                    reason,
                    registry.counter(
                            "wingstall.outcomes", "outcome", reason.outcome().value(), "reason", reason.code()));
        }
        claimBatch = DistributionSummary.builder("wingstall.claim.batch").register(registry);
        claimsForwarded = registry.counter("wingstall.claims.forwarded");
        claimReadBacks = registry.counter("wingstall.claim.read.backs");
        claimsAbandoned = registry.counter("wingstall.claims.abandoned");
        claimOverflows = registry.counter("wingstall.claim.pending.overflows");
        repeated = registry.counter("wingstall.answers.repeated");
        answersDropped = registry.counter("wingstall.stage.answers.dropped");
        ejections = registry.counter("wingstall.endpoint.ejections");
        for (OrderResult result : OrderResult.values()) {
            String tag = result.name().toLowerCase(Locale.ROOT);
            engineOrders.put(result, registry.counter("wingstall.engine.orders", "result", tag));
        }
        for (ListSource source : ListSource.values()) {
            String tag = source.name().toLowerCase(Locale.ROOT);
            memberLists.put(source, registry.counter("wingstall.members.lists", "from", tag));
        }
        timeoutsKept = registry.counter("wingstall.stage.timeouts.kept");
        rowsRejected = registry.counter("wingstall.config.rows.rejected");
        requestTime = Timer.builder("wingstall.request.time")
                .publishPercentiles(0.5, 0.95, 0.99)
                .register(registry);
    }

    /** Returns the text that Prometheus reads. */
    public String scrape() {
        return registry.scrape();
    }

    /** Shows a number that is read when asked for. */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /** Returns the registry, for meters of libraries. */
    public MeterRegistry registry() {
        return registry;
    }

    /** Counts a complete answer. */
    public void completed(long tookMs) {
        complete.increment();
        requestTime.record(tookMs, TimeUnit.MILLISECONDS);
    }

    /** Counts a request that ended for a reason. */
    public void refused(Reason reason) {
        reasons.get(reason).increment();
    }

    /** Counts a retry. */
    public void retried(String service, String reason) {
        retries.computeIfAbsent(
                        service + "|" + reason,
                        key -> registry.counter("wingstall.retries", "service", service, "reason", reason))
                .increment();
    }

    /** Counts a second call made while the first may still answer. */
    public void hedged(String service) {
        hedge(service, "called");
    }

    /** Counts a second call that answered before the first. */
    public void hedgeWon(String service) {
        hedge(service, "answered-first");
    }

    private void hedge(String service, String result) {
        hedges.computeIfAbsent(
                        service + "|" + result,
                        key -> registry.counter("wingstall.hedges", "service", service, "result", result))
                .increment();
    }

    /** Adds what a stage of a request cost. */
    public void stage(String pipeline, StageCost cost) {
        StageMeters meters =
                stages.computeIfAbsent(pipeline + "|" + cost.getStage(), key -> newStageMeters(pipeline, cost));
        meters.runMs().increment(cost.getRunMs());
        meters.wastedMs().increment(cost.getWastedMs());
        meters.tokens().increment(cost.getTokens());
        meters.calls().increment(cost.getAttempts());
    }

    private StageMeters newStageMeters(String pipeline, StageCost cost) {
        String[] tags = {"pipeline", pipeline, "stage", cost.getStage()};
        return new StageMeters(
                registry.counter("wingstall.stage.run.ms", tags),
                registry.counter("wingstall.stage.wasted.ms", tags),
                registry.counter("wingstall.stage.tokens", tags),
                registry.counter("wingstall.stage.calls", tags));
    }

    /** Counts a transaction of claims and the changes in it. */
    public void claimTransaction(int changes) {
        claimBatch.record(changes);
    }

    /** Counts a change of a claim that was handed to a peer. */
    public void claimForwarded() {
        claimsForwarded.increment();
    }

    /** Counts a read of a claim whose write got no answer. */
    public void claimReadBack() {
        claimReadBacks.increment();
    }

    /** Counts a claim that was given up before it ran. */
    public void claimAbandoned() {
        claimsAbandoned.increment();
    }

    /** Counts a recording or abandonment that was dropped because too many were pending. */
    public void claimPendingOverflow() {
        claimOverflows.increment();
    }

    /** Counts a recorded answer that was given again. */
    public void repeated() {
        repeated.increment();
    }

    /** Counts a stage answer that belonged to another call or came twice. */
    public void answerDropped() {
        answersDropped.increment();
    }

    /** Counts a call without progress that was left where it is, since there is nowhere else to try it. */
    public void timeoutKept() {
        timeoutsKept.increment();
    }

    /** Counts an order to an engine. */
    public void engineOrder(OrderResult result) {
        engineOrders.get(result).increment();
    }

    /** Counts a state of the membership list that was taken in. */
    public void memberList(ListSource source) {
        memberLists.get(source).increment();
    }

    /** Counts an endpoint that was ejected. */
    public void ejected() {
        ejections.increment();
    }

    /** Counts a configuration row that was left at its last good value. */
    public void rowRejected() {
        rowsRejected.increment();
    }
}
