package org.wingstall.relay.run;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wingstall.relay.config.EngineSpec;
import org.wingstall.relay.config.RegionRestriction;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.ServiceSpec;
import org.wingstall.relay.config.Workspace;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.engine.Prompt;
import org.wingstall.relay.pool.Urgency;

/**
 * The service that will answer one request: which of its endpoints may still be asked, and until when the stages before have
 * to be done for that. Confined to the request loop.
 */
final class TargetService {
    /** Time that the first part of an answer takes to its caller, in ms; callers are a few ms away. */
    private static final long CALLER_LATENCY_MS = 10;

    /**
     * Targets that a request waits for its stages: beyond, it is refused rather than held until its deadline, and the room
     * goes to requests that can be in time.
     */
    private static final double MAX_STAGE_WAIT_FACTOR = 1.5;

    /** Routes' ranks are below this; a workspace's rank comes before them. */
    private static final int ROUTE_RANKS = 100;

    private final RelayContext context;
    private final String name;
    private final Route route;
    private final RegionRestriction regions;
    private final Prompt prompt;
    private final Set<String> tried = new HashSet<>();

    TargetService(RelayContext context, String name, Route route, RegionRestriction regions, Prompt prompt) {
        this.regions = regions;
        this.context = context;
        this.name = name;
        this.route = route;
        this.prompt = prompt;
    }

    String name() {
        return name;
    }

    Prompt prompt() {
        return prompt;
    }

    /** Records that an endpoint is asked now. */
    void markTried(RelayEndpoint endpoint) {
        tried.add(endpoint.id());
    }

    /** Returns the endpoints that may be asked; those that are avoided are better than none. */
    List<RelayEndpoint> candidates() {
        return candidates(Set.of());
    }

    /**
     * Returns the endpoints that may be asked.
     *
     * @param shunned names of incarnations that are better left alone, as long as half of the others are there
     */
    List<RelayEndpoint> candidates(Set<String> shunned) {
        List<RelayEndpoint> all = untried();
        List<RelayEndpoint> others = all.stream()
                .filter(endpoint -> !shunned.contains(endpoint.key()))
                .toList();
        return 2 * others.size() >= all.size() && !others.isEmpty() ? others : all;
    }

    private List<RelayEndpoint> untried() {
        List<RelayEndpoint> usable = new ArrayList<>();
        List<RelayEndpoint> avoided = new ArrayList<>();
        for (RelayEndpoint endpoint : context.endpoints().ofService(name)) {
            boolean away =
                    !regions.allows(context.regions().of(endpoint.identity().failureDomain()));
            if (away || endpoint.state().leaving() || tried.contains(endpoint.id())) {
                continue;
            }
            (endpoint.usable() ? usable : avoided).add(endpoint);
        }
        return usable.isEmpty() ? avoided : usable;
    }

    /** Returns why no endpoint may be asked, for the caller and the log. */
    String noEndpointDetail() {
        Set<String> evacuated = context.endpoints().evacuated();
        return "no endpoint of '" + name + "' is left" + (evacuated.isEmpty() ? "" : ", evacuated: " + evacuated);
    }

    /** Returns whether its endpoints are engines that read the request's prompt. */
    boolean enginesPrefillPrompt() {
        return hasEngines() && !prompt.tokens().isEmpty();
    }

    /** Returns whether its endpoints are engines. */
    boolean hasEngines() {
        return engine().isPresent();
    }

    private Optional<EngineSpec> engine() {
        return context.config().get().service(name).flatMap(ServiceSpec::engine);
    }

    /**
     * Returns where the request itself will likely run: results for it are best made near its engine. Engines that fetch
     * what others keep are chosen near the results instead.
     */
    String readerDomain() {
        boolean anywhere = engine().map(EngineSpec::canFetch).orElse(false);
        return enginesPrefillPrompt() && !anywhere
                ? context.engineSelector().preferredDomain(candidates(), prompt)
                : "";
    }

    /** Returns until when its stages have to be done: they leave time for the answer, and end when it would be far too late. */
    Urgency urgency(Workspace workspace, long arrivedMs, long dueAtMs) {
        long stagesDueAtMs = Math.min(dueAtMs, arrivedMs + Math.round(MAX_STAGE_WAIT_FACTOR * route.targetMs()));
        return new Urgency(
                workspace.rank() * ROUTE_RANKS + route.rank(),
                arrivedMs + route.targetMs() - afterStagesMs(),
                stagesDueAtMs);
    }

    /** Returns the time that its endpoints usually take until they begin to answer, in ms. */
    long expectedResponseMs() {
        return enginesPrefillPrompt() ? context.engineSelector().firstAnswerMs(name, prompt) : 0;
    }

    /**
     * Returns the time from the end of the stages to the caller's first sight of an answer. It differs with the prompt: with
     * one time for all, stages that end as late as they may leave long prompts late.
     */
    private long afterStagesMs() {
        return CALLER_LATENCY_MS + expectedResponseMs();
    }
}
