package org.wingstall.relay.run;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wingstall.relay.config.EngineSpec;
import org.wingstall.relay.config.Homes;
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
final class RunService {
    /** Time that the first part of an answer takes to its caller, in ms; callers are a few ms away. */
    private static final long TO_CALLER_MS = 10;

    /**
     * Targets that a request waits for its stages: beyond, it is refused rather than held until its deadline, and the room
     * goes to requests that can be in time.
     */
    private static final double STAGES_PATIENCE = 1.5;

    /** Routes' ranks are below this; a workspace's rank comes before them. */
    private static final int RANKS_OF_ROUTES = 100;

    private final RelayParts parts;
    private final String name;
    private final Route route;
    private final Homes homes;
    private final Prompt prompt;
    private final Set<String> tried = new HashSet<>();

    RunService(RelayParts parts, String name, Route route, Homes homes, Prompt prompt) {
        this.homes = homes;
        this.parts = parts;
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
    void asked(RelayEndpoint endpoint) {
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
        for (RelayEndpoint endpoint : parts.endpoints().ofService(name)) {
            boolean away = !homes.allows(parts.regions().of(endpoint.identity().failureDomain()));
            if (away || endpoint.state().leaving() || tried.contains(endpoint.id())) {
                continue;
            }
            (endpoint.usable() ? usable : avoided).add(endpoint);
        }
        return usable.isEmpty() ? avoided : usable;
    }

    /** Returns why no endpoint may be asked, for the caller and the log. */
    String whyNone() {
        Set<String> evacuated = parts.endpoints().evacuated();
        return "no endpoint of '" + name + "' is left" + (evacuated.isEmpty() ? "" : ", evacuated: " + evacuated);
    }

    /** Returns whether its endpoints are engines that read the request's prompt. */
    boolean readsPrompt() {
        return hasEngines() && !prompt.tokens().isEmpty();
    }

    /** Returns whether its endpoints are engines. */
    boolean hasEngines() {
        return engine().isPresent();
    }

    private Optional<EngineSpec> engine() {
        return parts.config().get().service(name).flatMap(ServiceSpec::engine);
    }

    /**
     * Returns where the request itself will likely run: results for it are best made near its engine. Engines that fetch
     * what others keep are chosen near the results instead.
     */
    String readerDomain() {
        boolean anywhere = engine().map(EngineSpec::fetches).orElse(false);
        return readsPrompt() && !anywhere ? parts.engines().homeDomain(candidates(), prompt) : "";
    }

    /** Returns until when its stages have to be done: they leave time for the answer, and end when it would be far too late. */
    Urgency urgency(Workspace workspace, long arrivedMs, long dueAtMs) {
        long stagesDueAtMs = Math.min(dueAtMs, arrivedMs + Math.round(STAGES_PATIENCE * route.targetMs()));
        return new Urgency(
                workspace.rank() * RANKS_OF_ROUTES + route.rank(),
                arrivedMs + route.targetMs() - afterStagesMs(),
                stagesDueAtMs);
    }

    /** Returns the time that its endpoints usually take until they begin to answer, in ms. */
    long answerMs() {
        return readsPrompt() ? parts.engines().firstAnswerMs(name, prompt) : 0;
    }

    /**
     * Returns the time from the end of the stages to the caller's first sight of an answer. It differs with the prompt: with
     * one time for all, stages that end as late as they may leave long prompts late.
     */
    private long afterStagesMs() {
        return TO_CALLER_MS + answerMs();
    }
}
