package org.wingstall.relay.engine;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.peer.EngineHost;
import org.wingstall.peer.EngineLinks;
import org.wingstall.relay.config.EngineSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.endpoint.SendLimits;
import org.wingstall.relay.endpoint.SendLimits.SelectionMode;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.pool.CoordinatorSelector;
import org.wingstall.schema.peer.EngineAsk;
import org.wingstall.schema.peer.EngineChoice;
import org.wingstall.schema.peer.EngineOutcome;

/**
 * Has the engine of each prompt chosen by the box that chooses for the whole fleet, since boxes that each know only their own
 * requests crowd some engines and leave others idle. Without word from that box this one chooses by what it knows itself. What
 * the chooser knows is a hint; a request is sent, and never twice, by its own box. Confined to the request loop.
 *
 * <p>{@code broker.choose(new SelectionRequest("wingstall-llm", candidates, prompt, inputs, 900), receiver);}
 *
 * @since 0.4
 */
public final class EngineSelector implements EngineHost {
    /** Longest wait for the choice of another box, in ms: ten ways there and back on a calm day. */
    private static final long ASK_MS = 40;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EngineLinks links;
    private final CoordinatorSelector choosers;
    private final RelayEndpoints endpoints;
    private final Consumer<RelayEndpoint> doubted;
    private final Function<String, Optional<EngineSpec>> specs;
    private final RelayMetrics metrics;
    private final EngineLoadBalancer ledger;
    private final SendLimits limits;
    private final UnreachableReports silences;
    private final Map<String, FirstAnswerTimes> firstAnswers = new HashMap<>();
    private final Map<Long, Pending> pending = new HashMap<>();
    private long nextCorrelation = 1;

    /**
     * An engine that is wanted.
     *
     * @param service service of the engines
     * @param candidates engines that may take the prompt, at least one
     * @param prompt the prompt
     * @param inputs where its inputs lie
     * @param targetMs time left until its first answer is wanted, in ms
     */
    public record SelectionRequest(
            String service, List<RelayEndpoint> candidates, Prompt prompt, InputLocation inputs, long targetMs) {}

    /** A question that another box was asked, and who waits for the choice. */
    private record Pending(
            SelectionRequest question, String chooser, SelectionListener receiver, ScheduledFuture<?> timeout) {}

    /** Takes the choice of an engine, once. */
    public interface SelectionListener {
        /** An engine was chosen. */
        void chosen(EngineAssignment ticket);

        /** All engines that could take the prompt have reduced capacity, which is used up; one may take it after so many ms. */
        void noneAvailable(long againMs);
    }

    /**
     * Creates a broker.
     *
     * @param loop the request loop
     * @param clock monotonic clock
     * @param links what boxes say to each other about engines
     * @param choosers says which box chooses for a service
     * @param endpoints endpoints of all services
     * @param specs what the engines of a service can do, where the configuration says so
     * @param limits bounds requests to engines with reduced capacity
     * @param doubted takes an engine that another box could not reach, to ask it
     * @param limited whether an engine states a limit, so that others don't fetch from it
     * @param metrics counts choices
     */
    public EngineSelector(
            EventLoop loop,
            MonotonicClock clock,
            EngineLinks links,
            CoordinatorSelector choosers,
            RelayEndpoints endpoints,
            Function<String, Optional<EngineSpec>> specs,
            SendLimits limits,
            Consumer<RelayEndpoint> doubted,
            Predicate<RelayEndpoint> limited,
            RelayMetrics metrics) {
        this.loop = loop;
        this.clock = clock;
        this.links = links;
        this.choosers = choosers;
        this.endpoints = endpoints;
        this.specs = specs;
        this.limits = limits;
        this.doubted = doubted;
        this.metrics = metrics;
        this.ledger = new EngineLoadBalancer(clock, limited);
        this.silences = new UnreachableReports(clock);
    }

    /**
     * Has an engine chosen.
     *
     * @param question what is wanted
     * @param receiver takes the choice, now or soon
     */
    public void choose(SelectionRequest question, SelectionListener receiver) {
        String chooser = choosers.coordinatorOf(question.service());
        if (chooser == null) {
            chooseHere("this-box", question, receiver, SelectionMode.COORDINATOR);
        } else if (!ask(chooser, question, receiver)) {
            chooseHere("this-box", question, receiver, SelectionMode.FALLBACK);
        }
    }

    /** Returns the time within which most prompts like this one get a first sign of an answer at a service, in ms. */
    public long firstAnswerMs(String service, Prompt prompt) {
        return firstAnswersOf(service).meanPlusDeviationMs(prompt.ownTokens());
    }

    private FirstAnswerTimes firstAnswersOf(String service) {
        return firstAnswers.computeIfAbsent(service, name -> new FirstAnswerTimes());
    }

    /** An engine that is cold or in need is slow for a reason that passes, so nothing is learned from it. */
    private void learn(EngineAssignment ticket, long firstAnswerMs) {
        if (firstAnswerMs >= 0 && !limits.limited(ticket.endpoint())) {
            firstAnswersOf(ticket.endpoint().identity().service()).record(ticket.ownTokens(), firstAnswerMs);
        }
    }

    /** Returns the failure domain where a prompt's shared parts are at home; empty when it has none. */
    public String preferredDomain(List<RelayEndpoint> candidates, Prompt prompt) {
        String home = candidates.isEmpty() ? "" : EngineLoadBalancer.preferredEngine(candidates, prompt);
        return candidates.stream()
                .filter(candidate -> candidate.id().equals(home))
                .findFirst()
                .map(candidate -> candidate.identity().failureDomain())
                .orElse("");
    }

    private void chooseHere(String why, SelectionRequest question, SelectionListener receiver, SelectionMode chooser) {
        List<RelayEndpoint> open = limits.withinLimits(question.candidates(), chooser);
        if (open.isEmpty()) {
            metrics.recordEngineChoice("none-open");
            receiver.noneAvailable(limits.retryAfterMs(question.candidates(), chooser));
            return;
        }
        metrics.recordEngineChoice(why);
        EngineLoadBalancer.Choice choice = give(new EngineLoadBalancer.SelectionContext(
                open, question.prompt(), question.inputs(), question.targetMs(), specs.apply(question.service())));
        int ownTokens = question.prompt().ownTokens();
        receiver.chosen(new EngineAssignment(choice, null, ownTokens, clock, this::endedHere));
    }

    private EngineLoadBalancer.Choice give(EngineLoadBalancer.SelectionContext wanted) {
        EngineLoadBalancer.Choice choice = ledger.choose(wanted);
        limits.recordSend(choice.endpoint());
        return choice;
    }

    private boolean ask(String chooser, SelectionRequest question, SelectionListener receiver) {
        long correlation = nextCorrelation++;
        if (!links.ask(chooser, correlation, encode(question))) {
            return false;
        }
        ScheduledFuture<?> timeout = loop.schedule(() -> late(correlation), ASK_MS, TimeUnit.MILLISECONDS);
        pending.put(correlation, new Pending(question, chooser, receiver, timeout));
        return true;
    }

    private EngineAsk encode(SelectionRequest question) {
        Set<String> wanted =
                question.candidates().stream().map(RelayEndpoint::id).collect(Collectors.toSet());
        List<String> excluded = endpoints.ofService(question.service()).stream()
                .map(RelayEndpoint::id)
                .filter(id -> !wanted.contains(id))
                .toList();
        Prompt prompt = question.prompt();
        return new EngineAsk(
                question.service(),
                prompt.shared(),
                prompt.digests(),
                prompt.tokens(),
                question.inputs().failureDomain(),
                excluded,
                question.inputs().bytes(),
                question.targetMs());
    }

    private void late(long correlation) {
        Pending waiting = pending.remove(correlation);
        if (waiting != null) {
            chooseHere("late", waiting.question(), waiting.receiver(), SelectionMode.FALLBACK);
        }
    }

    @Override
    public void asked(String boxId, long correlation, EngineAsk ask) {
        List<RelayEndpoint> candidates = endpoints.ofService(ask.getService()).stream()
                .filter(RelayEndpoint::usable)
                .filter(endpoint -> !ask.getExcluded().contains(endpoint.id()))
                .toList();
        List<RelayEndpoint> open = limits.withinLimits(candidates, SelectionMode.COORDINATOR);
        if (open.isEmpty()) {
            long againMs =
                    candidates.isEmpty() ? 0 : Math.max(1, limits.retryAfterMs(candidates, SelectionMode.COORDINATOR));
            links.tellChoice(boxId, correlation, new EngineChoice("", 0, 0, 0, null, againMs));
            return;
        }
        Prompt prompt = new Prompt(ask.getShared(), ask.getDigests(), ask.getTokens());
        InputLocation inputs = new InputLocation(ask.getNearDomain(), ask.getInputBytes());
        links.tellChoice(
                boxId,
                correlation,
                encode(give(new EngineLoadBalancer.SelectionContext(
                        open, prompt, inputs, ask.getTargetMs(), specs.apply(ask.getService())))));
    }

    private static EngineChoice encode(EngineLoadBalancer.Choice choice) {
        EngineEstimate expected = choice.estimate();
        String fetchFrom = choice.fetchFrom() == null ? null : Addresses.format(choice.fetchFrom());
        return new EngineChoice(
                choice.endpoint().id(),
                (int) expected.firstAnswerMs(),
                expected.waitMs(),
                expected.prefillTokens(),
                fetchFrom,
                0);
    }

    @Override
    public void chosen(String boxId, long correlation, EngineChoice choice) {
        Pending waiting = pending.get(correlation);
        if (waiting == null || !waiting.chooser().equals(boxId)) {
            return;
        }
        pending.remove(correlation);
        waiting.timeout().cancel(false);
        if (choice.getAgainMs() > 0) {
            metrics.recordEngineChoice("none-open");
            waiting.receiver().noneAvailable(choice.getAgainMs());
            return;
        }
        Optional<RelayEndpoint> endpoint = waiting.question().candidates().stream()
                .filter(candidate -> candidate.id().equals(choice.getEndpoint()))
                .findFirst();
        if (endpoint.isEmpty()) {
            chooseHere("chooser-without", waiting.question(), waiting.receiver(), SelectionMode.FALLBACK);
            return;
        }
        metrics.recordEngineChoice("chooser");
        EngineEstimate expected =
                new EngineEstimate(choice.getExpectedMs(), choice.getWaitMs(), choice.getReadTokens());
        InetSocketAddress fetchFrom = choice.getFetchFrom() == null ? null : Addresses.parse(choice.getFetchFrom());
        EngineLoadBalancer.Choice made = new EngineLoadBalancer.Choice(endpoint.get(), expected, fetchFrom);
        int ownTokens = waiting.question().prompt().ownTokens();
        waiting.receiver().chosen(new EngineAssignment(made, boxId, ownTokens, clock, this::endedElsewhere));
    }

    private void endedElsewhere(EngineAssignment ticket, long firstAnswerMs) {
        learn(ticket, firstAnswerMs);
        EngineEstimate expected = ticket.estimate();
        links.tellOutcome(
                ticket.coordinator(),
                new EngineOutcome(
                        ticket.endpoint().id(),
                        (int) expected.firstAnswerMs(),
                        (int) firstAnswerMs,
                        expected.waitMs(),
                        expected.prefillTokens()));
    }

    private void endedHere(EngineAssignment ticket, long firstAnswerMs) {
        learn(ticket, firstAnswerMs);
        if (firstAnswerMs >= 0 && !limits.limited(ticket.endpoint())) {
            ledger.recordFirstAnswer(ticket.endpoint(), ticket.estimate(), firstAnswerMs);
        }
    }

    @Override
    public void ended(String boxId, EngineOutcome outcome) {
        String id = outcome.getEndpoint();
        if (outcome.getFirstAnswerMs() >= 0) {
            silences.answered(id);
            EngineEstimate expected =
                    new EngineEstimate(outcome.getExpectedMs(), outcome.getWaitMs(), outcome.getReadTokens());
            endpoints
                    .find(id)
                    .filter(engine -> !limits.limited(engine))
                    .ifPresent(engine -> ledger.recordFirstAnswer(engine, expected, outcome.getFirstAnswerMs()));
        } else if (silences.confirms(id, boxId)) {
            endpoints.find(id).ifPresent(endpoint -> endpoint.recordNoAnswer("two boxes could not reach it"));
        } else {
            endpoints.find(id).ifPresent(doubted);
        }
    }

    /** Drops what is known of engines that are gone. */
    public void endpointsChanged() {
        ledger.retain(endpoints.all().stream().map(RelayEndpoint::id).collect(Collectors.toSet()));
    }
}
