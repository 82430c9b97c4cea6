package org.wingstall.relay.engine;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.peer.RendezvousHash;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.EngineSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * Selects the engine with the lowest estimated cost for a prompt, from the prompts that this box has assigned to all
 * engines. The estimate covers the prefill queue of an engine, the parts of the prompt that it has cached or can fetch,
 * its running requests and its observed slowdown. Confined to the request loop.
 *
 * <p>{@code loadBalancer.choose(new SelectionContext(engines, prompt, inputs, 1000, Optional.empty())).endpoint()}
 *
 * @since 0.4
 */
final class EngineLoadBalancer {
    private static final Logger LOG = LogManager.getLogger(EngineLoadBalancer.class);

    /**
     * Additional cost of the prefill of a shared part, as a fraction of its time, since other prompts wait for it as
     * well. At 0, twice as many tokens were prefilled repeatedly as without a coordinator.
     */
    private static final double REPEATED_PREFILL_COST = 1;

    /** Fixed time to fetch a request's inputs from another failure domain, in ms. */
    private static final double REMOTE_INPUT_MS = 5;

    /** Additional time per megabyte of inputs, in ms, over links of 1 Gbit/s. */
    private static final double REMOTE_INPUT_MS_PER_MB = 8;

    /**
     * Cost per megabyte of inputs in addition to its time, in ms of engine time, since links between failure domains
     * are expensive. As long as a response meets its target, the engine near the inputs is selected unless its queue is
     * much longer.
     */
    private static final double REMOTE_INPUT_COST_PER_MB = 50;

    /** Factor on the time beyond the target. */
    private static final double LATE_FACTOR = 3;

    /** Safety factor on the estimated time when it is compared with the target, since some responses take longer. */
    private static final double ESTIMATE_MARGIN = 1.3;

    private static final double BYTES_PER_MB = 1e6;

    /** Cache capacity of an engine without a configured one, in tokens; current engines have 300,000 and more. */
    private static final long DEFAULT_CACHE_TOKENS = 300_000;

    /** Time to set up a fetch from another engine's cache, in ms: two round trips between failure domains. */
    private static final double FETCH_SETUP_MS = 6;

    /** Factor on the time of a fetch between failure domains compared with one within a failure domain. */
    private static final double REMOTE_FETCH_FACTOR = 2;

    private final MonotonicClock clock;
    private final Predicate<RelayEndpoint> rateLimited;
    private final Map<String, EngineLoad> loads = new HashMap<>();
    private final Map<String, ServiceSpeed> services = new HashMap<>();
    private final Function<SlowdownMean, EngineSlowdown> slowdowns;

    /**
     * Describes the prompt and the engines of one selection.
     *
     * @param candidates engines that can take the prompt, at least one
     * @param prompt the prompt
     * @param inputs where its inputs are stored
     * @param targetMs time until its first response is wanted, in ms
     * @param spec properties of the engines, where configured
     */
    record SelectionContext(
            List<RelayEndpoint> candidates,
            Prompt prompt,
            InputLocation inputs,
            long targetMs,
            Optional<EngineSpec> spec) {}

    /**
     * The result of a selection.
     *
     * @param endpoint the engine
     * @param estimate the prediction for it
     * @param fetchFrom engine that has cached parts of the prompt which the selected one lacks, or null
     */
    record Choice(RelayEndpoint endpoint, EngineEstimate estimate, InetSocketAddress fetchFrom) {}

    /**
     * Estimated cost of sending a prompt to an engine: the time until its first event, parts of that time, and the
     * total that includes the cost to other requests.
     */
    private record Cost(
            RelayEndpoint endpoint,
            int prefillTokens,
            double waitMs,
            double firstAnswerMs,
            double totalMs,
            Fetch fetch) {}

    /** Parts of a prompt that an engine can fetch from another one. */
    private record Fetch(RelayEndpoint source, int tokens, double durationMs) {
        private static final Fetch NONE = new Fetch(null, 0, 0);
    }

    /** What the engines of a service have in common. */
    private record ServiceSpeed(EngineSpeed speed, SlowdownMean mean) {}

    /** A candidate with what is known of it, and how many leading parts of the prompt were assigned to it. */
    private record Candidate(RelayEndpoint endpoint, EngineLoad load, int assignedParts) {}

    /** The engine with the most leading parts of a prompt in its cache, and their number. */
    private record CacheHolder(RelayEndpoint endpoint, int parts) {}

    /**
     * Creates a load balancer without any knowledge of engines.
     *
     * @param clock monotonic clock
     * @param rateLimited whether an engine advertises a limit, so that others don't fetch from it
     */
    EngineLoadBalancer(MonotonicClock clock, Predicate<RelayEndpoint> rateLimited) {
        this(clock, rateLimited, TwoScaleSlowdown::new);
    }

    EngineLoadBalancer(
            MonotonicClock clock,
            Predicate<RelayEndpoint> rateLimited,
            Function<SlowdownMean, EngineSlowdown> slowdowns) {
        this.slowdowns = slowdowns;
        this.rateLimited = rateLimited;
        this.clock = clock;
    }

    /** Selects an engine and records the prompt as assigned to it. */
    Choice choose(SelectionContext context) {
        long nowMs = clock.nowMs();
        Prompt prompt = context.prompt();
        int shared = prompt.tokens().size() - 1;
        List<Candidate> candidates = new ArrayList<>(context.candidates().size());
        CacheHolder cacheHolder = new CacheHolder(null, 0);
        boolean unassigned = true;
        for (RelayEndpoint endpoint : context.candidates()) {
            EngineLoad load = loadOf(endpoint, context.spec());
            PrefixCacheModel.LeadingParts parts = load.prefixCache().leadingParts(prompt, nowMs);
            unassigned &= parts.assigned() < shared;
            candidates.add(new Candidate(endpoint, load, parts.assigned()));
            if (parts.prefilled() > cacheHolder.parts() && !rateLimited.test(endpoint)) {
                cacheHolder = new CacheHolder(endpoint, parts.prefilled());
            }
        }
        // Nothing is known of the shared parts yet, so the preferred engine is the best guess.
        String preferred = unassigned ? preferredEngine(context.candidates(), prompt) : "";
        Cost best = null;
        for (Candidate candidate : candidates) {
            Cost cost = cost(candidate, context, preferred, cacheHolder, nowMs);
            if (best == null || cost.totalMs() < best.totalMs()) {
                best = cost;
            }
        }
        EngineLoad load = loadOf(best.endpoint(), context.spec());
        load.recordAssigned(prompt, best.prefillTokens(), nowMs);
        RelayEndpoint source = best.fetch().source();
        EngineEstimate estimate =
                new EngineEstimate(Math.round(best.firstAnswerMs()), (int) best.waitMs(), best.prefillTokens());
        return new Choice(
                best.endpoint(),
                estimate,
                source == null ? null : source.state().address());
    }

    private Cost cost(
            Candidate known, SelectionContext context, String preferred, CacheHolder cacheHolder, long nowMs) {
        RelayEndpoint candidate = known.endpoint();
        EngineLoad load = known.load();
        double factor = load.slowdown(nowMs);
        Prompt prompt = context.prompt();
        int shared = prompt.tokens().size() - 1;
        int cachedParts = Math.max(known.assignedParts(), candidate.id().equals(preferred) ? shared : 0);
        Fetch fetch = fetch(candidate, context, cachedParts, cacheHolder, load, factor);
        int prefillTokens = prompt.tokensFrom(cachedParts) - fetch.tokens();
        double prefillMs = load.prefillMs(prefillTokens, factor);
        double repeatedMs = REPEATED_PREFILL_COST * Math.max(0, prefillMs - load.prefillMs(prompt.ownTokens(), factor));
        double waitMs = load.waitMs(nowMs);
        double inputMs = context.inputs()
                .remoteCostMs(
                        candidate.identity().failureDomain(), REMOTE_INPUT_MS, REMOTE_INPUT_MS_PER_MB / BYTES_PER_MB);
        double firstAnswerMs = waitMs + fetch.durationMs() + prefillMs + load.firstDecodeMs(nowMs, factor) + inputMs;
        double inputCostMs = context.inputs()
                .remoteCostMs(candidate.identity().failureDomain(), 0, REMOTE_INPUT_COST_PER_MB / BYTES_PER_MB);
        double totalMs = timeCostMs(firstAnswerMs, context.targetMs()) + repeatedMs + inputCostMs;
        return new Cost(candidate, prefillTokens, waitMs, firstAnswerMs, totalMs, fetch);
    }

    /**
     * Returns the cost of a time until the first event: time beyond the target costs more, since a late response is
     * worth little.
     */
    private static double timeCostMs(double firstAnswerMs, long targetMs) {
        return firstAnswerMs + LATE_FACTOR * Math.max(0, firstAnswerMs * ESTIMATE_MARGIN - targetMs);
    }

    /** Returns the fetch of the parts that an engine lacks, if it takes less time than their prefill. */
    private static Fetch fetch(
            RelayEndpoint candidate,
            SelectionContext context,
            int cachedParts,
            CacheHolder cacheHolder,
            EngineLoad load,
            double factor) {
        boolean possible = context.spec().map(EngineSpec::canFetch).orElse(false)
                && cacheHolder.endpoint() != null
                && cacheHolder.endpoint() != candidate
                && cacheHolder.parts() > cachedParts;
        if (!possible) {
            return Fetch.NONE;
        }
        Prompt prompt = context.prompt();
        int tokens = prompt.tokensFrom(cachedParts) - prompt.tokensFrom(cacheHolder.parts());
        String holderDomain = cacheHolder.endpoint().identity().failureDomain();
        boolean sameDomain = holderDomain.equals(candidate.identity().failureDomain());
        double durationMs =
                FETCH_SETUP_MS + context.spec().get().fetchMs(tokens) * (sameDomain ? 1 : REMOTE_FETCH_FACTOR);
        return durationMs < load.prefillMs(tokens, factor)
                ? new Fetch(cacheHolder.endpoint(), tokens, durationMs)
                : Fetch.NONE;
    }

    /**
     * Returns the engine that all boxes prefer for the last shared part of a prompt, by rendezvous hashing. Comparing
     * each engine with the best one so far computes two scores per engine; sorting all of them computed over ten.
     */
    static String preferredEngine(List<RelayEndpoint> candidates, Prompt prompt) {
        if (prompt.shared().isEmpty()) {
            return "";
        }
        String best = candidates.get(0).id();
        for (int i = 1; i < candidates.size(); i++) {
            String id = candidates.get(i).id();
            if (RendezvousHash.rank(prompt.shared(), List.of(best), id) == 0) {
                best = id;
            }
        }
        return best;
    }

    /** Records the time that the first response of an engine took. */
    void recordFirstAnswer(RelayEndpoint engine, EngineEstimate estimate, long tookMs) {
        EngineLoad load = loads.get(engine.id());
        if (load != null && load.incarnation() == engine.identity().incarnation()) {
            load.recordFirstAnswer(estimate, tookMs, clock.nowMs());
            if (load.slowChanged()) {
                LogEvent.info(load.slow() ? "engine-slow" : "engine-slow-ended")
                        .with("endpoint", engine.id())
                        .with("service", engine.identity().service())
                        .with("slowdownPercent", Math.round(100 * load.slowdownRelativeToMean()))
                        .to(LOG);
            }
        }
    }

    /** Removes the data of engines that are no longer listed. */
    void retain(Set<String> endpointIds) {
        loads.entrySet().removeIf(entry -> {
            boolean unlisted = !endpointIds.contains(entry.getKey());
            if (unlisted) {
                entry.getValue().retire();
            }
            return unlisted;
        });
    }

    /** Returns the load of an engine; a restarted engine begins without the load of its previous incarnation. */
    private EngineLoad loadOf(RelayEndpoint engine, Optional<EngineSpec> spec) {
        EngineLoad known = loads.get(engine.id());
        if (known == null || known.incarnation() != engine.identity().incarnation()) {
            if (known != null) {
                known.retire();
            }
            ServiceSpeed service = services.computeIfAbsent(
                    engine.identity().service(), name -> new ServiceSpeed(new EngineSpeed(), new SlowdownMean()));
            long cacheTokens = spec.map(EngineSpec::cacheCapacityTokens).orElse(DEFAULT_CACHE_TOKENS);
            known = new EngineLoad(
                    engine.identity().incarnation(),
                    service.speed(),
                    slowdowns.apply(service.mean()),
                    new PrefixCacheModel(cacheTokens));
            loads.put(engine.id(), known);
        }
        return known;
    }
}
