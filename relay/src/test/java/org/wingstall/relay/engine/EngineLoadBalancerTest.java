package org.wingstall.relay.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.relay.config.EngineSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.RelayRequest.PromptPart;
import org.wingstall.schema.platform.Member;

/** Tests which engine is selected for a prompt, depending on the prompts assigned to all of them. */
public class EngineLoadBalancerTest {
    private long nowMs;
    private RelayEndpoints endpoints;
    private EngineLoadBalancer loadBalancer;
    private int prompts;

    @BeforeMethod
    public void create() {
        nowMs = 0;
        endpoints = new RelayEndpoints(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        endpoints.applyList(Stream.of("a", "b", "c", "d")
                .map(EngineLoadBalancerTest::engine)
                .toList());
        loadBalancer = new EngineLoadBalancer(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), engine -> false);
    }

    private static Member engine(String id) {
        return engine(id, 1);
    }

    private static Member engine(String id, long incarnation) {
        String domain = id.equals("d") ? "west" : "east";
        return new Member(
                id, Member.Kind.ENDPOINT, domain, "127.0.0.1:9", "llm", "v1", Member.State.LIVE, incarnation, 64, 0);
    }

    private Prompt prompt(String shared, int sharedTokens, int ownTokens) {
        String own = "own" + prompts++;
        return Prompt.of(List.of(new PromptPart(shared, sharedTokens), new PromptPart(own, ownTokens)));
    }

    private EngineLoadBalancer.Choice choose(List<RelayEndpoint> engines, Prompt prompt, InputLocation inputs) {
        return loadBalancer.choose(
                new EngineLoadBalancer.SelectionContext(engines, prompt, inputs, 1000, Optional.empty()));
    }

    private void answeredLate(String id) {
        loadBalancer.recordFirstAnswer(endpoints.find(id).orElseThrow(), new EngineEstimate(100, 0, 1000), 800);
    }

    private RelayEndpoint choose(Prompt prompt) {
        return choose(endpoints.ofService("llm"), prompt, InputLocation.NONE).endpoint();
    }

    @Test
    public void promptsWithTheSameSharedPartGoToOneEngineWhileItKeepsUp() {
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            chosen.add(choose(prompt("menu", 13_300, 600)).id());
            nowMs += 200;
        }
        assertEquals(chosen.size(), 1);
    }

    /**
     * Guards against overloading one engine: boxes that each saw only their own requests sent 20 to the same engine at
     * once, and the last one waited for all the others.
     */
    @Test
    public void manyPromptsAtOnceAreSpreadOnceWaitingCostsMoreThanPrefillElsewhere() {
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            chosen.add(choose(prompt("menu", 13_300, 3700)).id());
        }
        assertEquals(chosen, Set.of("a", "b", "c", "d"));
    }

    @Test
    public void anEngineThatRespondsLateGetsFewerPrompts() {
        String usual = choose(prompt("menu", 1200, 1000)).id();
        for (int i = 0; i < 20; i++) {
            answeredLate(usual);
        }
        nowMs += 10_000;
        assertNotEquals(choose(prompt("menu", 1200, 1000)).id(), usual);
    }

    @Test
    public void amongEnginesWithLittlePrefillTheNearestIsChosen() {
        for (int i = 0; i < 5; i++) {
            Prompt alone = Prompt.of(List.of(new PromptPart("own" + i, 100)));
            RelayEndpoint chosen = choose(endpoints.ofService("llm"), alone, new InputLocation("west", 1_000_000))
                    .endpoint();
            assertEquals(chosen.id(), "d");
            nowMs += 1000;
        }
    }

    @Test
    public void theEstimateIncludesWaitingPrompts() {
        List<RelayEndpoint> one = endpoints.ofService("llm").subList(0, 1);
        long first = choose(one, prompt("menu", 6120, 6120), InputLocation.NONE)
                .estimate()
                .firstAnswerMs();
        long second = choose(one, prompt("menu", 6120, 6120), InputLocation.NONE)
                .estimate()
                .firstAnswerMs();
        assertTrue(second >= first + 100, first + " then " + second);
    }

    @Test
    public void dataOfUnlistedEnginesIsRemoved() {
        String usual = choose(prompt("menu", 1200, 1000)).id();
        answeredLate(usual);
        loadBalancer.retain(Set.of());
        assertEquals(choose(prompt("menu", 1200, 1000)).id(), usual);
    }

    private static final EngineSpec FETCHING = new EngineSpec(true, 163_840, 32_500_000, 300_000);

    private EngineLoadBalancer.Choice chooseFetching(Prompt prompt, String inputDomain) {
        InputLocation inputs = new InputLocation(inputDomain, 4_000_000);
        return loadBalancer.choose(new EngineLoadBalancer.SelectionContext(
                endpoints.ofService("llm"), prompt, inputs, 1000, Optional.of(FETCHING)));
    }

    /**
     * Guards against selecting the one engine that has cached the shared part, which moved 4 MB of inputs to its
     * failure domain.
     */
    @Test
    public void theEngineNearTheInputsFetchesWhatAnotherHasPrefilled() {
        EngineLoadBalancer.Choice first = chooseFetching(prompt("menu", 6300, 500), "east");
        nowMs += 2000;
        EngineLoadBalancer.Choice second = chooseFetching(prompt("menu", 6300, 500), "west");
        assertEquals(second.endpoint().id(), "d");
        assertEquals(second.fetchFrom(), first.endpoint().state().address());
        assertEquals(second.estimate().prefillTokens(), 500);
    }

    @Test
    public void partsNotYetPrefilledAreNotFetched() {
        chooseFetching(prompt("menu", 6300, 500), "east");
        assertNull(chooseFetching(prompt("menu", 6300, 500), "west").fetchFrom());
    }

    @Test
    public void aRestartedEngineHasAnEmptyCache() {
        String chosen =
                chooseFetching(prompt("menu", 6300, 500), "west").endpoint().id();
        nowMs += 2000;
        endpoints.applyList(Stream.of("a", "b", "c", "d")
                .map(id -> engine(id, id.equals(chosen) ? 2 : 1))
                .toList());
        loadBalancer.retain(Set.of("a", "b", "c", "d"));
        assertNull(chooseFetching(prompt("menu", 6300, 500), "west").fetchFrom());
    }

    @Test
    public void leastRecentlyUsedPartsAreEvicted() {
        PrefixCacheModel memory = new PrefixCacheModel(10_000);
        Prompt first = prompt("menu", 6300, 100);
        memory.add(first, 0);
        assertEquals(memory.assignedParts(first), 2);
        memory.add(prompt("lunch", 6300, 100), 0);
        assertEquals(memory.assignedParts(first), 0);
    }
}
