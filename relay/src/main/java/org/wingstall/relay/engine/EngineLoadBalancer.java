package org.wingstall.relay.engine;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.wingstall.core.peer.RendezvousHash;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.EngineSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * Chooses the engine that will answer a prompt first, by what all engines were given through this box: the prompts that wait
 * to be read there, what of this prompt it keeps or can fetch, what runs beside, and how slow it has been. Confined to the
 * request loop.
 *
 * <p>{@code ledger.choose(new SelectionContext(engines, prompt, Inputs.NONE, Optional.empty())).endpoint()}
 *
 * @since 0.4
 */
final class EngineLoadBalancer {
    /**
     * What reading a shared part once more costs beside its time, in parts of that time: other prompts wait for it as well.
     * At 0 twice as many tokens were read again as without a common choice.
     */
    private static final double READ_AGAIN = 1;

    /** What it takes to fetch a request's inputs from another failure domain, whatever their size, in ms. */
    private static final double FAR_MS = 5;

    /** What each megabyte of them takes beside, in ms, over links of 1 Gbit/s. */
    private static final double FAR_MS_PER_MB = 8;

    /**
     * What each megabyte of them costs beside its time, in ms of engines: links between failure domains are dear. While an
     * answer is in time anyway, the near engine is chosen unless others wait for it much longer.
     */
    private static final double DEAR_MS_PER_MB = 50;

    /** What each ms beyond the target costs, in ms within it. */
    private static final double LATE = 3;

    /** Factor on an expected time from which it is counted as late: some answers take longer. */
    private static final double MARGIN = 1.3;

    private static final double BYTES_PER_MB = 1e6;

    /** Memory of an engine whose service says nothing of it, in tokens; engines of today have 300,000 and more. */
    private static final long ASSUMED_MEMORY_TOKENS = 300_000;

    /** Time to set up the fetching of what another engine keeps, in ms; two ways there and back between domains. */
    private static final double FETCH_SETUP_MS = 6;

    /** Fetching between failure domains takes so many times as long as within one. */
    private static final double FAR_FETCH = 2;

    private final MonotonicClock clock;
    private final Predicate<RelayEndpoint> spared;
    private final Map<String, EngineLoad> loads = new HashMap<>();
    private final Map<String, EngineSpeed> speeds = new HashMap<>();

    /**
     * What a choice is for.
     *
     * @param candidates engines that may take the prompt, at least one
     * @param prompt the prompt
     * @param inputs where its inputs lie
     * @param targetMs time left until its first answer is wanted, in ms
     * @param spec what the engines can do, where the configuration says so
     */
    record SelectionContext(
            List<RelayEndpoint> candidates,
            Prompt prompt,
            InputLocation inputs,
            long targetMs,
            Optional<EngineSpec> spec) {}

    /**
     * The engine that was chosen.
     *
     * @param endpoint the engine
     * @param expectation what is expected of it
     * @param fetchFrom engine that keeps parts of the prompt which the chosen one lacks, or null
     */
    record Choice(RelayEndpoint endpoint, EngineEstimate estimate, InetSocketAddress fetchFrom) {}

    /** What sending a prompt to an engine costs: its parts, the time until its first event, and that with what others lose. */
    private record Cost(
            RelayEndpoint endpoint, int readTokens, double waitMs, double firstMs, double wholeMs, Fetch fetch) {}

    /** Parts of a prompt that an engine can get from another one. */
    private record Fetch(RelayEndpoint keeper, int tokens, double takesMs) {
        private static final Fetch NONE = new Fetch(null, 0, 0);
    }

    /** The engine that keeps most of a prompt, and how many parts of it. */
    private record Keeper(RelayEndpoint endpoint, int parts) {}

    /**
     * Creates a ledger.
     *
     * @param clock monotonic clock
     * @param spared whether an engine states a limit, so that others don't fetch from it
     */
    EngineLoadBalancer(MonotonicClock clock, Predicate<RelayEndpoint> spared) {
        this.spared = spared;
        this.clock = clock;
    }

    /** Chooses an engine and records what it is given. */
    Choice choose(SelectionContext wanted) {
        long nowMs = clock.nowMs();
        Keeper keeper = keeperOf(wanted, nowMs);
        String home = unread(wanted) ? preferredEngine(wanted.candidates(), wanted.prompt()) : "";
        Cost best = null;
        for (RelayEndpoint candidate : wanted.candidates()) {
            Cost cost = cost(candidate, wanted, home, keeper, nowMs);
            if (best == null || cost.wholeMs() < best.wholeMs()) {
                best = cost;
            }
        }
        EngineLoad load = loadOf(best.endpoint(), wanted.spec());
        load.recordAssigned(wanted.prompt(), best.readTokens(), nowMs);
        RelayEndpoint from = best.fetch().keeper();
        EngineEstimate expectation =
                new EngineEstimate(Math.round(best.firstMs()), (int) best.waitMs(), best.readTokens());
        return new Choice(
                best.endpoint(), expectation, from == null ? null : from.state().address());
    }

    /** Returns whether no engine was given the shared parts through this box; then their home is the best guess. */
    private boolean unread(SelectionContext wanted) {
        int shared = wanted.prompt().tokens().size() - 1;
        return wanted.candidates().stream()
                .noneMatch(candidate ->
                        loadOf(candidate, wanted.spec()).prefixCache().assignedParts(wanted.prompt()) >= shared);
    }

    private Keeper keeperOf(SelectionContext wanted, long nowMs) {
        Keeper most = new Keeper(null, 0);
        for (RelayEndpoint candidate : wanted.candidates()) {
            int parts = loadOf(candidate, wanted.spec()).prefixCache().prefilledParts(wanted.prompt(), nowMs);
            if (parts > most.parts() && !spared.test(candidate)) {
                most = new Keeper(candidate, parts);
            }
        }
        return most;
    }

    private Cost cost(RelayEndpoint candidate, SelectionContext wanted, String home, Keeper keeper, long nowMs) {
        EngineLoad load = loadOf(candidate, wanted.spec());
        Prompt prompt = wanted.prompt();
        int shared = prompt.tokens().size() - 1;
        int warm = Math.max(
                load.prefixCache().assignedParts(prompt), candidate.id().equals(home) ? shared : 0);
        Fetch fetch = fetch(candidate, wanted, warm, keeper, load);
        int readTokens = prompt.tokensFrom(warm) - fetch.tokens();
        double readMs = load.prefillMs(readTokens);
        double againMs = READ_AGAIN * Math.max(0, readMs - load.prefillMs(prompt.ownTokens()));
        double waitMs = load.waitMs(nowMs);
        double farMs = wanted.inputs()
                .remoteCostMs(candidate.identity().failureDomain(), FAR_MS, FAR_MS_PER_MB / BYTES_PER_MB);
        double firstMs = waitMs + fetch.takesMs() + readMs + load.firstDecodeMs(nowMs) + farMs;
        double dearMs =
                wanted.inputs().remoteCostMs(candidate.identity().failureDomain(), 0, DEAR_MS_PER_MB / BYTES_PER_MB);
        double wholeMs = timeCostMs(firstMs, wanted.targetMs()) + againMs + dearMs;
        return new Cost(candidate, readTokens, waitMs, firstMs, wholeMs, fetch);
    }

    /** Time within the target costs what it keeps others waiting; beyond, the answer is worth little. */
    private static double timeCostMs(double firstMs, long targetMs) {
        return firstMs + LATE * Math.max(0, firstMs * MARGIN - targetMs);
    }

    /** Fetching is worth it when it takes less time than reading. */
    private static Fetch fetch(
            RelayEndpoint candidate, SelectionContext wanted, int warm, Keeper keeper, EngineLoad load) {
        boolean can = wanted.spec().map(EngineSpec::canFetch).orElse(false)
                && keeper.endpoint() != null
                && keeper.endpoint() != candidate
                && keeper.parts() > warm;
        if (!can) {
            return Fetch.NONE;
        }
        Prompt prompt = wanted.prompt();
        int tokens = prompt.tokensFrom(warm) - prompt.tokensFrom(keeper.parts());
        String keeperDomain = keeper.endpoint().identity().failureDomain();
        boolean near = keeperDomain.equals(candidate.identity().failureDomain());
        double takesMs = FETCH_SETUP_MS + wanted.spec().get().fetchMs(tokens) * (near ? 1 : FAR_FETCH);
        return takesMs < load.prefillMs(tokens) ? new Fetch(keeper.endpoint(), tokens, takesMs) : Fetch.NONE;
    }

    /** Returns the engine that all boxes prefer for the last part that may be shared. */
    static String preferredEngine(List<RelayEndpoint> candidates, Prompt prompt) {
        if (prompt.shared().isEmpty()) {
            return "";
        }
        List<String> ids = candidates.stream().map(RelayEndpoint::id).toList();
        return RendezvousHash.top(prompt.shared(), ids, 1).get(0);
    }

    /** Records the time that the first answer of an engine took. */
    void recordFirstAnswer(RelayEndpoint engine, EngineEstimate expected, long tookMs) {
        EngineLoad load = loads.get(engine.id());
        if (load != null && load.incarnation() == engine.identity().incarnation()) {
            load.recordFirstAnswer(expected, tookMs);
        }
    }

    /** Drops what is known of engines that are gone. */
    void retain(Set<String> endpointIds) {
        loads.keySet().retainAll(endpointIds);
    }

    /** An engine that started again under its identifier has none of the load that it had. */
    private EngineLoad loadOf(RelayEndpoint engine, Optional<EngineSpec> spec) {
        EngineLoad known = loads.get(engine.id());
        if (known == null || known.incarnation() != engine.identity().incarnation()) {
            EngineSpeed speed = speeds.computeIfAbsent(engine.identity().service(), service -> new EngineSpeed());
            long memoryTokens = spec.map(EngineSpec::cacheCapacityTokens).orElse(ASSUMED_MEMORY_TOKENS);
            known = new EngineLoad(engine.identity().incarnation(), speed, new PrefixCacheModel(memoryTokens));
            loads.put(engine.id(), known);
        }
        return known;
    }
}
