package org.wingstall.relay.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.peer.EngineLinks;
import org.wingstall.relay.config.ColdStartSpec;
import org.wingstall.relay.endpoint.EqualColdStartShares;
import org.wingstall.relay.endpoint.FixedFleet;
import org.wingstall.relay.endpoint.Fleet;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.endpoint.SendLimits;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.pool.CoordinatorSelector;
import org.wingstall.relay.wire.RelayRequest.PromptPart;
import org.wingstall.schema.peer.EngineAsk;
import org.wingstall.schema.peer.EngineChoice;
import org.wingstall.schema.peer.EngineOutcome;
import org.wingstall.schema.platform.Member;

/** A box asks the coordinator to select an engine, and selects one itself when it gets no response. */
public class EngineSelectorTest implements EngineLinks {
    private static final Prompt PROMPT = Prompt.of(List.of(new PromptPart("menu", 1200), new PromptPart("own", 100)));

    private EventLoop loop;
    private RelayEndpoints endpoints;
    private EngineSelector broker;
    private boolean linked;
    private Optional<ColdStartSpec> coldSpec;
    private final List<Long> retryAfterTimes = new ArrayList<>();
    private final Map<Long, EngineAsk> asks = new ConcurrentHashMap<>();
    private final List<EngineChoice> choices = new ArrayList<>();
    private final List<EngineOutcome> outcomes = new ArrayList<>();
    private final List<String> suspects = new ArrayList<>();
    private final List<EngineAssignment> assignments = new CopyOnWriteArrayList<>();

    @BeforeMethod
    public void create() {
        loop = new DefaultEventLoop();
        linked = true;
        asks.clear();
        choices.clear();
        outcomes.clear();
        suspects.clear();
        assignments.clear();
        endpoints = new RelayEndpoints(System::nanoTime);
        endpoints.applyList(Stream.of("a", "b").map(EngineSelectorTest::engine).toList());
        retryAfterTimes.clear();
        coldSpec = Optional.empty();
        Fleet.Provider fleet = new FixedFleet(new Fleet("hub", List.of("hub"), List.of("hub"), true, 1), true, true);
        SendLimits limits = SendLimits.builder(System::nanoTime, fleet)
                .limitColdStarts(
                        service -> coldSpec, () -> new SendLimits.ColdStartBurst(1, 0), new EqualColdStartShares())
                .build(new RelayMetrics());
        broker = new EngineSelector(
                loop,
                System::nanoTime,
                this,
                new CoordinatorSelector() {
                    @Override
                    public String coordinatorOf(String service) {
                        return "hub";
                    }

                    @Override
                    public boolean reaches(String boxId, String service) {
                        return !boxId.startsWith("cut");
                    }
                },
                endpoints,
                service -> Optional.empty(),
                limits,
                engine -> suspects.add(engine.id()),
                engine -> false,
                new RelayMetrics());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    private static Member engine(String id) {
        return new Member(id, Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "llm", "v1", Member.State.LIVE, 1, 64, 0);
    }

    @Override
    public boolean ask(String boxId, long correlation, EngineAsk ask) {
        asks.put(correlation, ask);
        return linked;
    }

    @Override
    public boolean tellChoice(String boxId, long correlation, EngineChoice choice) {
        return choices.add(choice);
    }

    @Override
    public boolean tellOutcome(String boxId, EngineOutcome outcome) {
        return outcomes.add(outcome);
    }

    private void choose() throws Exception {
        loop.submit(() -> broker.choose(
                        new EngineSelector.SelectionRequest(
                                "llm", endpoints.ofService("llm"), PROMPT, InputLocation.NONE, 1000),
                        new EngineSelector.SelectionListener() {
                            @Override
                            public void chosen(EngineAssignment ticket) {
                                assignments.add(ticket);
                            }

                            @Override
                            public void noneAvailable(long retryAfterMs) {
                                retryAfterTimes.add(retryAfterMs);
                            }
                        }))
                .sync();
    }

    private void coordinatorChooses(String endpoint) throws Exception {
        long correlation = asks.keySet().iterator().next();
        loop.submit(() -> broker.chosen("hub", correlation, new EngineChoice(endpoint, 80, 0, 100, null, 0)))
                .sync();
    }

    @Test
    public void theCoordinatorsChoiceIsUsedAndItsOutcomeReported() throws Exception {
        choose();
        coordinatorChooses("b");
        EngineAssignment ticket = assignments.get(0);
        assertEquals(ticket.endpoint().id(), "b");
        assertEquals(ticket.coordinator(), "hub");
        ticket.answered();
        ticket.unreachable();
        assertEquals(outcomes.size(), 1);
        assertEquals(outcomes.get(0).getExpectedMs(), 80);
        assertTrue(outcomes.get(0).getFirstAnswerMs() >= 0);
    }

    @DataProvider
    Object[][] unusableAnswers() {
        return new Object[][] {{"an engine that this box does not know"}, {""}};
    }

    @Test(dataProvider = "unusableAnswers")
    public void anUnusableAnswerIsReplacedByALocalChoice(String endpoint) throws Exception {
        choose();
        coordinatorChooses(endpoint);
        assertEquals(assignments.size(), 1);
        assertEquals(assignments.get(0).coordinator(), null);
    }

    @Test
    public void withoutAnAnswerTheBoxChoosesLocallyOnce() throws Exception {
        choose();
        Awaitility.await().until(() -> !assignments.isEmpty());
        coordinatorChooses("a");
        assertEquals(assignments.size(), 1);
        assertEquals(assignments.get(0).coordinator(), null);
    }

    @Test
    public void withoutALinkTheBoxChoosesLocallyAtOnce() throws Exception {
        linked = false;
        choose();
        assertEquals(assignments.size(), 1);
    }

    @Test
    public void theCoordinatorRespectsExcludedEngines() {
        broker.asked(
                "other", 3, new EngineAsk("llm", "menu", PROMPT.digests(), PROMPT.tokens(), "", List.of("a"), 0, 1000));
        broker.asked(
                "other",
                4,
                new EngineAsk("llm", "menu", PROMPT.digests(), PROMPT.tokens(), "", List.of("a", "b"), 0, 1000));
        assertEquals(choices.get(0).getEndpoint(), "b");
        assertEquals(choices.get(1).getEndpoint(), "");
    }

    /**
     * Without the query the coordinator assigns more requests to an unresponsive engine until a second box has lost one
     * there.
     */
    @Test
    public void theCoordinatorQueriesAnEngineThatOneBoxCouldNotReach() {
        broker.ended("one", new EngineOutcome("a", 80, -1, 0, 100));
        assertEquals(suspects, List.of("a"));
        broker.ended("two", new EngineOutcome("b", 80, 60, 0, 100));
        assertEquals(suspects, List.of("a"));
    }

    /** One box with broken links must not keep all others from using every engine. */
    @Test
    public void anEngineIsAvoidedOnceTwoBoxesCouldNotReachIt() {
        RelayEndpoint engine = endpoints.find("a").orElseThrow();
        broker.ended("one", new EngineOutcome("a", 80, -1, 0, 100));
        broker.ended("one", new EngineOutcome("a", 80, -1, 0, 100));
        assertTrue(engine.usable());
        broker.ended("two", new EngineOutcome("a", 80, -1, 0, 100));
        assertFalse(engine.usable());
    }

    /** Boxes without links to most engines took each of them away from all other boxes. */
    @Test
    public void reportsOfBoxesThatReachFewEnginesAreIgnored() {
        RelayEndpoint engine = endpoints.find("a").orElseThrow();
        broker.ended("cut-1", new EngineOutcome("a", 80, -1, 0, 100));
        broker.ended("cut-2", new EngineOutcome("a", 80, -1, 0, 100));
        assertTrue(engine.usable());
        assertEquals(suspects, List.of());
    }

    /** Engines that are listed after the first list have just started. */
    private void startColdEngines() {
        coldSpec = Optional.of(new ColdStartSpec(60_000, 4));
        endpoints.applyList(Stream.of("c", "d").map(EngineSelectorTest::engine).toList());
    }

    @Test
    public void theCoordinatorLimitsColdEnginesAndTellsWhenToRetry() {
        startColdEngines();
        EngineAsk ask = new EngineAsk("llm", "menu", PROMPT.digests(), PROMPT.tokens(), "", List.of(), 0, 1000);
        for (int i = 0; i < 5; i++) {
            broker.asked("other", i, ask);
        }
        assertEquals(choices.stream().filter(choice -> choice.getAgainMs() == 0).count(), 4);
        assertTrue(
                choices.get(4).getAgainMs() > 0, "again after " + choices.get(4).getAgainMs());
    }

    @Test
    public void aBoxToldThatEnginesAreColdDoesNotChooseLocally() throws Exception {
        choose();
        long correlation = asks.keySet().iterator().next();
        loop.submit(() -> broker.chosen("hub", correlation, new EngineChoice("", 0, 0, 0, null, 400)))
                .sync();
        assertEquals(retryAfterTimes, List.of(400L));
        assertTrue(assignments.isEmpty());
    }
}
