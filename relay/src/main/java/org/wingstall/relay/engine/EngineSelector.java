package org.wingstall.relay.engine;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
import org.wingstall.core.peer.CorrelationSequence;
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
 * Selects the engine of each prompt by asking the coordinator, the box that selects for the whole fleet, since boxes
 * that each know only their own requests overload some engines and leave others idle. When the coordinator doesn't
 * respond, this box selects an engine from its own data. The coordinator's data are only a hint: each request is sent
 * by its own box, and never twice. Confined to the request loop.
 *
 * <p>{@code selector.choose(new SelectionRequest("wingstall-llm", candidates, prompt, inputs, 900), listener);}
 *
 * @since 0.4
 */
public final class EngineSelector implements EngineHost {
    /** Timeout of a request to the coordinator, in ms: ten round trips under normal load. */
    private static final long COORDINATOR_TIMEOUT_MS = 40;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EngineLinks links;
    private final CoordinatorSelector coordinators;
    private final RelayEndpoints endpoints;
    private final Consumer<RelayEndpoint> suspects;
    private final Function<String, Optional<EngineSpec>> specs;
    private final RelayMetrics metrics;
    private final EngineLoadBalancer loadBalancer;
    private final SendLimits limits;
    private final UnreachableReports unreachableReports;
    private final Map<String, FirstAnswerTimes> firstAnswers = new HashMap<>();
    private final Map<Long, PendingSelection> pending = new HashMap<>();
    private final CorrelationSequence correlations = new CorrelationSequence();

    /**
     * Describes the prompt for which an engine is wanted.
     *
     * @param service name of the engines' service
     * @param candidates engines that can take the prompt, at least one
     * @param prompt the prompt
     * @param inputs where its inputs are stored
     * @param targetMs time until its first response is wanted, in ms
     */
    public record SelectionRequest(
            String service, List<RelayEndpoint> candidates, Prompt prompt, InputLocation inputs, long targetMs) {}

    /** A request to the coordinator whose response is outstanding. */
    private record PendingSelection(
            SelectionRequest request, String coordinator, SelectionListener listener, ScheduledFuture<?> timeout) {}

    /** Receives the result of a selection, once. */
    public interface SelectionListener {
        /** Called when an engine was selected. */
        void chosen(EngineAssignment assignment);

        /**
         * Called when all candidates have reduced capacity, which is used up; a request may be sent after {@code
         * retryAfterMs}.
         */
        void noneAvailable(long retryAfterMs);
    }

    /**
     * Creates a selector without any knowledge of engines.
     *
     * @param loop the request loop
     * @param clock monotonic clock
     * @param links sends messages about engines to other boxes
     * @param coordinators decides which box is the coordinator of a service
     * @param endpoints endpoints of all services
     * @param specs properties of the engines of a service, where configured
     * @param limits limits the requests to engines with reduced capacity
     * @param suspects takes an engine that another box could not reach, to query its state
     * @param rateLimited whether an engine advertises a limit, so that others don't fetch from it
     * @param metrics counts the selections
     */
    public EngineSelector(
            EventLoop loop,
            MonotonicClock clock,
            EngineLinks links,
            CoordinatorSelector coordinators,
            RelayEndpoints endpoints,
            Function<String, Optional<EngineSpec>> specs,
            SendLimits limits,
            Consumer<RelayEndpoint> suspects,
            Predicate<RelayEndpoint> rateLimited,
            RelayMetrics metrics) {
        this.loop = loop;
        this.clock = clock;
        this.links = links;
        this.coordinators = coordinators;
        this.endpoints = endpoints;
        this.specs = specs;
        this.limits = limits;
        this.suspects = suspects;
        this.metrics = metrics;
        this.loadBalancer = new EngineLoadBalancer(clock, rateLimited, mean -> new PredictionRatio());
        this.unreachableReports = new UnreachableReports(clock);
    }

    /**
     * Selects an engine for a prompt.
     *
     * @param request the prompt and its candidates
     * @param listener receives the result, during the call or later
     */
    public void choose(SelectionRequest request, SelectionListener listener) {
        String coordinator = coordinators.coordinatorOf(request.service());
        if (coordinator == null) {
            chooseLocally("this-box", request, listener, SelectionMode.COORDINATOR);
        } else if (!askCoordinator(coordinator, request, listener)) {
            chooseLocally("this-box", request, listener, SelectionMode.FALLBACK);
        }
    }

    /**
     * Returns the time within which most prompts like this one get the first event of a response from a service, in ms.
     */
    public long firstAnswerMs(String service, Prompt prompt) {
        return firstAnswersOf(service).meanPlusDeviationMs(prompt.ownTokens());
    }

    private FirstAnswerTimes firstAnswersOf(String service) {
        return firstAnswers.computeIfAbsent(service, name -> new FirstAnswerTimes());
    }

    /**
     * Records the time of a first response, except of an engine that is cold or limited: it is slow for a temporary
     * reason.
     */
    private void recordFirstAnswer(EngineAssignment ticket, long firstAnswerMs) {
        if (firstAnswerMs >= 0 && !limits.limited(ticket.endpoint())) {
            firstAnswersOf(ticket.endpoint().identity().service()).recordFirstAnswer(ticket.ownTokens(), firstAnswerMs);
        }
    }

    /**
     * Returns the failure domain of the preferred engine for a prompt's shared parts; an empty string when it has none.
     */
    public String preferredDomain(List<RelayEndpoint> candidates, Prompt prompt) {
        String home = candidates.isEmpty() ? "" : EngineLoadBalancer.preferredEngine(candidates, prompt);
        return candidates.stream()
                .filter(candidate -> candidate.id().equals(home))
                .findFirst()
                .map(candidate -> candidate.identity().failureDomain())
                .orElse("");
    }

    private void chooseLocally(
            String reason, SelectionRequest request, SelectionListener listener, SelectionMode mode) {
        List<RelayEndpoint> available = limits.withinLimits(request.candidates(), mode);
        if (available.isEmpty()) {
            metrics.recordEngineChoice("none-open");
            listener.noneAvailable(limits.retryAfterMs(request.candidates(), mode));
            return;
        }
        metrics.recordEngineChoice(reason);
        EngineLoadBalancer.Choice choice = assign(new EngineLoadBalancer.SelectionContext(
                available, request.prompt(), request.inputs(), request.targetMs(), specs.apply(request.service())));
        int ownTokens = request.prompt().ownTokens();
        listener.chosen(new EngineAssignment(choice, null, ownTokens, clock, this::recordOutcome));
    }

    private EngineLoadBalancer.Choice assign(EngineLoadBalancer.SelectionContext context) {
        EngineLoadBalancer.Choice choice = loadBalancer.choose(context);
        limits.recordSend(choice.endpoint());
        return choice;
    }

    private boolean askCoordinator(String coordinator, SelectionRequest request, SelectionListener listener) {
        long correlation = correlations.next();
        if (!links.ask(coordinator, correlation, encode(request))) {
            return false;
        }
        ScheduledFuture<?> timeout =
                loop.schedule(() -> timedOut(correlation), COORDINATOR_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        pending.put(correlation, new PendingSelection(request, coordinator, listener, timeout));
        return true;
    }

    private EngineAsk encode(SelectionRequest request) {
        Set<String> candidateIds =
                request.candidates().stream().map(RelayEndpoint::id).collect(Collectors.toSet());
        List<String> excluded = endpoints.ofService(request.service()).stream()
                .map(RelayEndpoint::id)
                .filter(id -> !candidateIds.contains(id))
                .toList();
        Prompt prompt = request.prompt();
        return new EngineAsk(
                request.service(),
                prompt.shared(),
                prompt.digests(),
                prompt.tokens(),
                request.inputs().failureDomain(),
                excluded,
                request.inputs().bytes(),
                request.targetMs());
    }

    private void timedOut(long correlation) {
        PendingSelection selection = pending.remove(correlation);
        if (selection != null) {
            chooseLocally("late", selection.request(), selection.listener(), SelectionMode.FALLBACK);
        }
    }

    @Override
    public void asked(String boxId, long correlation, EngineAsk ask) {
        List<RelayEndpoint> candidates = candidatesFor(ask);
        List<RelayEndpoint> available = limits.withinLimits(candidates, SelectionMode.COORDINATOR);
        if (available.isEmpty()) {
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
                encode(assign(new EngineLoadBalancer.SelectionContext(
                        available, prompt, inputs, ask.getTargetMs(), specs.apply(ask.getService())))));
    }

    /**
     * Returns the engines that the asking box may use. An engine that asked only this box for a pause is overloaded, so
     * it is left out as long as there are others.
     */
    private List<RelayEndpoint> candidatesFor(EngineAsk ask) {
        Set<String> excluded = new HashSet<>(ask.getExcluded());
        List<RelayEndpoint> all = new ArrayList<>();
        List<RelayEndpoint> open = new ArrayList<>();
        for (RelayEndpoint endpoint : endpoints.ofService(ask.getService())) {
            if (endpoint.usableByOthers() && !excluded.contains(endpoint.id())) {
                all.add(endpoint);
                if (endpoint.closedForMs() == 0) {
                    open.add(endpoint);
                }
            }
        }
        return open.isEmpty() ? all : open;
    }

    private static EngineChoice encode(EngineLoadBalancer.Choice choice) {
        EngineEstimate estimate = choice.estimate();
        String fetchFrom = choice.fetchFrom() == null ? null : Addresses.format(choice.fetchFrom());
        return new EngineChoice(
                choice.endpoint().id(),
                (int) estimate.firstAnswerMs(),
                estimate.waitMs(),
                estimate.prefillTokens(),
                fetchFrom,
                0);
    }

    @Override
    public void chosen(String boxId, long correlation, EngineChoice choice) {
        PendingSelection selection = pending.get(correlation);
        if (selection == null || !selection.coordinator().equals(boxId)) {
            return;
        }
        pending.remove(correlation);
        selection.timeout().cancel(false);
        if (choice.getAgainMs() > 0) {
            metrics.recordEngineChoice("none-open");
            selection.listener().noneAvailable(choice.getAgainMs());
            return;
        }
        Optional<RelayEndpoint> endpoint = selection.request().candidates().stream()
                .filter(candidate -> candidate.id().equals(choice.getEndpoint()))
                .findFirst();
        if (endpoint.isEmpty()) {
            chooseLocally("chooser-without", selection.request(), selection.listener(), SelectionMode.FALLBACK);
            return;
        }
        metrics.recordEngineChoice("chooser");
        EngineEstimate estimate =
                new EngineEstimate(choice.getExpectedMs(), choice.getWaitMs(), choice.getReadTokens());
        InetSocketAddress fetchFrom = choice.getFetchFrom() == null ? null : Addresses.parse(choice.getFetchFrom());
        EngineLoadBalancer.Choice selected = new EngineLoadBalancer.Choice(endpoint.get(), estimate, fetchFrom);
        int ownTokens = selection.request().prompt().ownTokens();
        selection.listener().chosen(new EngineAssignment(selected, boxId, ownTokens, clock, this::reportOutcome));
    }

    private void reportOutcome(EngineAssignment ticket, long firstAnswerMs) {
        recordFirstAnswer(ticket, firstAnswerMs);
        EngineEstimate estimate = ticket.estimate();
        links.tellOutcome(
                ticket.coordinator(),
                new EngineOutcome(
                        ticket.endpoint().id(),
                        (int) estimate.firstAnswerMs(),
                        (int) firstAnswerMs,
                        estimate.waitMs(),
                        estimate.prefillTokens()));
    }

    private void recordOutcome(EngineAssignment ticket, long firstAnswerMs) {
        recordFirstAnswer(ticket, firstAnswerMs);
        if (firstAnswerMs >= 0 && !limits.limited(ticket.endpoint())) {
            loadBalancer.recordFirstAnswer(ticket.endpoint(), ticket.estimate(), firstAnswerMs);
        }
    }

    @Override
    public void ended(String boxId, EngineOutcome outcome) {
        String id = outcome.getEndpoint();
        if (outcome.getFirstAnswerMs() >= 0) {
            unreachableReports.answered(id);
            EngineEstimate estimate =
                    new EngineEstimate(outcome.getExpectedMs(), outcome.getWaitMs(), outcome.getReadTokens());
            endpoints
                    .find(id)
                    .filter(engine -> !limits.limited(engine))
                    .ifPresent(engine -> loadBalancer.recordFirstAnswer(engine, estimate, outcome.getFirstAnswerMs()));
        } else if (!reportsReliably(boxId, id)) {
            metrics.recordEngineChoice("report-ignored");
        } else if (unreachableReports.confirms(id, boxId)) {
            endpoints.find(id).ifPresent(endpoint -> endpoint.recordNoAnswer("two boxes could not reach it"));
        } else {
            endpoints.find(id).ifPresent(suspects);
        }
    }

    /** Returns whether a box that could not reach an engine reaches most of the others of its service. */
    private boolean reportsReliably(String boxId, String engineId) {
        return endpoints
                .find(engineId)
                .map(engine -> coordinators.reaches(boxId, engine.identity().service()))
                .orElse(true);
    }

    /** Removes the data of engines that are no longer listed. */
    public void endpointsChanged() {
        loadBalancer.retain(endpoints.all().stream().map(RelayEndpoint::id).collect(Collectors.toSet()));
    }
}
