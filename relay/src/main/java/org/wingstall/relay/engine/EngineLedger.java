package org.wingstall.relay.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wingstall.core.peer.Rendezvous;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * Chooses the engine that will answer a prompt first, by what all engines were given through this box: the prompts that wait
 * to be read there, what of this prompt it keeps, what runs beside, and how slow it has been. Confined to the request loop.
 *
 * <p>{@code ledger.choose(engines, prompt, "kgn-a").orElseThrow().endpoint()}
 *
 * @since 0.4
 */
final class EngineLedger {
    /** Prompt tokens that an engine reads in a millisecond; the operators' figure for their engines. */
    private static final double READ_TOKENS_PER_MS = 61.2;

    /**
     * What reading a shared part once more costs beside its time, in parts of that time: other prompts wait for it as well.
     * At 0 twice as many tokens were read again as without a common choice.
     */
    private static final double READ_AGAIN = 1;

    /** What a request that runs there costs the next one, in ms: each step of the engine gets a little longer. */
    private static final double BESIDE_MS = 4;

    /** What it costs to fetch a request's inputs from another failure domain, in ms of its own time and the links'. */
    private static final double FAR_MS = 30;

    /** Time until the first event of a prompt that is read at once, in ms: fetching inputs and the first steps. */
    private static final double FIRST_STEPS_MS = 60;

    private final MonotonicClock clock;
    private final Map<String, EngineLoad> loads = new HashMap<>();

    /**
     * The engine that was chosen.
     *
     * @param endpoint the engine
     * @param expectedMs time until the first sign of an answer that is expected, in ms
     */
    record Choice(RelayEndpoint endpoint, long expectedMs) {}

    /** What sending a prompt to an engine costs: reading it, the time until its first event, and both with what others lose. */
    private record Cost(RelayEndpoint endpoint, double readMs, double firstMs, double wholeMs) {}

    EngineLedger(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Chooses an engine and takes note of what it is given.
     *
     * @param candidates engines that may take the prompt, at least one
     * @param prompt the prompt
     * @param nearDomain failure domain where its inputs lie; empty when it has none
     */
    Choice choose(List<RelayEndpoint> candidates, Prompt prompt, String nearDomain) {
        long nowMs = clock.nowMs();
        String home = homeOf(candidates, prompt);
        Cost best = null;
        for (RelayEndpoint candidate : candidates) {
            Cost cost = cost(candidate, prompt, nearDomain, candidate.id().equals(home), nowMs);
            if (best == null || cost.wholeMs() < best.wholeMs()) {
                best = cost;
            }
        }
        loadOf(best.endpoint().id()).given(best.readMs(), nowMs);
        prompt.remember(best.endpoint().state().prefixes());
        return new Choice(best.endpoint(), Math.round(best.firstMs() + FIRST_STEPS_MS));
    }

    private Cost cost(RelayEndpoint candidate, Prompt prompt, String nearDomain, boolean home, long nowMs) {
        EngineLoad load = loadOf(candidate.id());
        double readMs = load.slowness() * prompt.coldTokens(candidate.state().prefixes(), home) / READ_TOKENS_PER_MS;
        boolean far =
                !nearDomain.isEmpty() && !nearDomain.equals(candidate.identity().failureDomain());
        double besideMs = load.slowness() * BESIDE_MS * load.running(nowMs);
        double againMs = READ_AGAIN * Math.max(0, readMs - load.slowness() * prompt.ownTokens() / READ_TOKENS_PER_MS);
        double firstMs = load.waitMs(nowMs) + readMs + besideMs + (far ? FAR_MS : 0);
        return new Cost(candidate, readMs, firstMs, firstMs + againMs);
    }

    /** Returns the engine that all boxes prefer for the last part that may be shared. */
    static String homeOf(List<RelayEndpoint> candidates, Prompt prompt) {
        if (prompt.shared().isEmpty()) {
            return "";
        }
        List<String> ids = candidates.stream().map(RelayEndpoint::id).toList();
        return Rendezvous.top(prompt.shared(), ids, 1).get(0);
    }

    /** Takes note of the time that the first answer of an engine took. */
    void answered(String endpointId, long expectedMs, long tookMs) {
        loadOf(endpointId).answered(expectedMs, tookMs);
    }

    /** Drops what is known of engines that are gone. */
    void retain(Set<String> endpointIds) {
        loads.keySet().retainAll(endpointIds);
    }

    private EngineLoad loadOf(String endpointId) {
        return loads.computeIfAbsent(endpointId, id -> new EngineLoad());
    }
}
