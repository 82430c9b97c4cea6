package org.wingstall.relay.run;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.wingstall.relay.config.EngineSpec;
import org.wingstall.relay.config.RegionRestriction;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.ServiceSpec;
import org.wingstall.relay.config.Workspace;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.engine.Prompt;
import org.wingstall.relay.pool.Urgency;

/**
 * The service that one request is sent to: the candidates among its endpoints, and the deadline of the stages before
 * it. Confined to the request loop.
 */
final class TargetService {
    /** Time that the first bytes of a response take to the caller, in ms; callers are a few ms away. */
    private static final long CALLER_LATENCY_MS = 10;

    /**
     * Longest wait for the stages, as a multiple of the latency target. A request that waits longer is refused rather
     * than held until its deadline, which leaves the capacity to requests that can still meet their targets.
     */
    private static final double MAX_STAGE_WAIT_FACTOR = 1.5;

    /** Upper limit of the ranks of routes; requests are ordered by the rank of the workspace first. */
    private static final int ROUTE_RANKS = 100;

    private static final String ANY_VERSION = "";

    private final RelayContext context;
    private final String name;
    private final Route route;
    private final RegionRestriction regions;
    private final Prompt prompt;
    private final Set<String> tried = new HashSet<>();
    private String version = ANY_VERSION;

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

    /** Records an attempt at an endpoint, which is no candidate from then on. */
    void markTried(RelayEndpoint endpoint) {
        tried.add(endpoint.id());
    }

    /** Leaves only endpoints of one software version as candidates. */
    void requireVersion(String required) {
        version = required;
    }

    private boolean fits(RelayEndpoint endpoint) {
        return inRegion(endpoint) && (version.equals(ANY_VERSION) || version.equals(endpoint.softwareVersion()));
    }

    /** Returns whether no endpoint that takes streams runs the required version. */
    boolean versionGone() {
        return !version.equals(ANY_VERSION)
                && context.endpoints().ofService(name).stream()
                        .noneMatch(endpoint ->
                                fits(endpoint) && (!endpoint.state().leaving() || takesResumedStream(endpoint)));
    }

    /** Returns whether an endpoint that leaves may still go on with a stream, as long as no other one can. */
    private boolean takesResumedStream(RelayEndpoint endpoint) {
        return !version.equals(ANY_VERSION) && endpoint.leavingWithin(context.leavingGraceMs());
    }

    /** Returns the candidates; endpoints that are not usable at present are returned only if there are no others. */
    List<RelayEndpoint> candidates() {
        return candidates(Set.of());
    }

    /**
     * Returns the candidates.
     *
     * @param endpointsToAvoid incarnations to leave out, as long as at least half of the candidates remain
     */
    List<RelayEndpoint> candidates(Set<String> endpointsToAvoid) {
        List<RelayEndpoint> all = untried();
        if (endpointsToAvoid.isEmpty()) {
            return all;
        }
        List<RelayEndpoint> others = new ArrayList<>(all.size());
        for (RelayEndpoint endpoint : all) {
            if (!endpointsToAvoid.contains(endpoint.key())) {
                others.add(endpoint);
            }
        }
        return 2 * others.size() >= all.size() && !others.isEmpty() ? others : all;
    }

    private List<RelayEndpoint> untried() {
        List<RelayEndpoint> listed = context.endpoints().ofService(name);
        List<RelayEndpoint> usable = new ArrayList<>(listed.size());
        List<RelayEndpoint> avoided = List.of();
        List<RelayEndpoint> leaving = List.of();
        long nowMs = context.clock().nowMs();
        for (RelayEndpoint endpoint : listed) {
            if (!fits(endpoint) || wasTried(endpoint) || endpoint.closedForMs(nowMs) > 0) {
                continue;
            }
            if (!endpoint.state().leaving()) {
                if (endpoint.usableByOthers(nowMs) && !risky(endpoint)) {
                    usable.add(endpoint);
                } else {
                    avoided = with(avoided, endpoint);
                }
            } else if (takesResumedStream(endpoint)) {
                leaving = with(leaving, endpoint);
            }
        }
        if (!usable.isEmpty()) {
            return usable;
        }
        return leaving.isEmpty() ? avoided : leaving;
    }

    private static List<RelayEndpoint> with(List<RelayEndpoint> endpoints, RelayEndpoint next) {
        List<RelayEndpoint> more = endpoints.isEmpty() ? new ArrayList<>() : endpoints;
        more.add(next);
        return more;
    }

    private boolean wasTried(RelayEndpoint endpoint) {
        return !tried.isEmpty() && tried.contains(endpoint.id());
    }

    /**
     * Returns whether an endpoint that may have ended is not to be tried with this request: one request at a time is,
     * and none that has been lost already.
     */
    private boolean risky(RelayEndpoint endpoint) {
        return endpoint.inDoubt() && (!tried.isEmpty() || endpoint.state().inFlight() > 0);
    }

    private boolean inRegion(RelayEndpoint endpoint) {
        return !regions.restricted()
                || regions.allows(context.regions().of(endpoint.identity().failureDomain()));
    }

    /**
     * Returns the time until an endpoint that was not tried yet takes requests again, in ms; 0 if none will.
     */
    long untriedOpenInMs() {
        return openInMs(endpoint -> !tried.contains(endpoint.id()));
    }

    /** Returns the time until an endpoint takes requests again, in ms; 0 if one takes them now, or none will. */
    long openInMs() {
        return openInMs(endpoint -> true);
    }

    private long openInMs(Predicate<RelayEndpoint> considered) {
        return context.endpoints().ofService(name).stream()
                .filter(considered)
                .filter(endpoint -> fits(endpoint) && !endpoint.state().leaving())
                .mapToLong(RelayEndpoint::closedForMs)
                .min()
                .orElse(0);
    }

    /** Describes that no endpoint takes requests for some time, in ms. */
    String atCapacityDetail(long againMs) {
        return "endpoints of '" + name() + "' are cold, state a limit or asked for a pause, and take no more for "
                + againMs + " ms";
    }

    /** Returns the detail text for a request without candidates, for the caller and the log. */
    String noEndpointDetail() {
        Set<String> evacuated = context.endpoints().evacuated();
        String wanted = version.equals(ANY_VERSION) ? "" : " with version " + version;
        return "no endpoint of '" + name + "'" + wanted + " is left"
                + (evacuated.isEmpty() ? "" : ", evacuated: " + evacuated);
    }

    /** Returns whether the endpoints are engines and the request has a prompt to prefill. */
    boolean enginesPrefillPrompt() {
        return hasEngines() && !prompt.tokens().isEmpty();
    }

    /** Returns whether the endpoints are engines. */
    boolean hasEngines() {
        return engine().isPresent();
    }

    private Optional<EngineSpec> engine() {
        return context.config().get().service(name).flatMap(ServiceSpec::engine);
    }

    /**
     * Returns the failure domain where the request will likely run, so that stage results are produced near its engine;
     * empty if not known. Engines that can fetch prompt parts from others are selected near the results instead.
     */
    String readerDomain() {
        boolean anywhere = engine().map(EngineSpec::canFetch).orElse(false);
        return enginesPrefillPrompt() && !anywhere
                ? context.engineSelector().preferredDomain(candidates(), prompt)
                : "";
    }

    /**
     * Returns the urgency of the stages: their target leaves time for the response, their deadline ends a wait that is
     * far too long.
     */
    Urgency urgency(Workspace workspace, long arrivedMs, long deadlineAtMs) {
        long stagesDueAtMs = Math.min(deadlineAtMs, arrivedMs + Math.round(MAX_STAGE_WAIT_FACTOR * route.targetMs()));
        return new Urgency(
                workspace.rank() * ROUTE_RANKS + route.rank(),
                arrivedMs + route.targetMs() - afterStagesMs(),
                stagesDueAtMs);
    }

    /** Returns the expected time until an endpoint begins its response, in ms; 0 if it is not estimated. */
    long expectedResponseMs() {
        return enginesPrefillPrompt() ? context.engineSelector().firstAnswerMs(name, prompt) : 0;
    }

    /**
     * Returns the expected time from the end of the stages until the caller receives the first bytes, in ms. It depends
     * on the prompt: with one time for all, requests with long prompts miss their targets when stages end as late as
     * allowed.
     */
    private long afterStagesMs() {
        return CALLER_LATENCY_MS + expectedResponseMs();
    }
}
