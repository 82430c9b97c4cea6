package org.wingstall.relay.run;

import java.util.ArrayList;
import java.util.List;
import org.wingstall.core.quarantine.Fingerprint;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.engine.EngineAssignment;
import org.wingstall.relay.engine.EngineEstimate;
import org.wingstall.relay.engine.InputLocation;
import org.wingstall.relay.stream.StreamVersion;
import org.wingstall.relay.wire.RelayRequest;
import org.wingstall.relay.wire.RelayRequest.PromptPart;
import org.wingstall.relay.wire.ResponseHead;

/**
 * Collects the log fields of one request: what decided, and how old that information was. Confined to the request loop.
 *
 * <p>{@code record.attempt(endpoint, listAgeMs, nowMs); record.attemptEnded("lost", detail, nowMs);}
 *
 * @since 0.2
 */
public final class RequestLogEntry {
    /** Characters of a signature that are logged; enough to find the endpoint's record of it. */
    private static final int SIGNATURE_CHARS = 24;

    private final RelayRequest request;
    private final Route route;
    private final String workspace;
    private final long configVersion;
    private final long arrivedMs;
    private Fingerprint fingerprint;
    private final List<String> attempts = new ArrayList<>();
    private List<String> stages = List.of();
    private long stagesMs = -1;
    private long firstByteMs = -1;

    RequestLogEntry(RelayRequest request, Route route, String workspace, long configVersion, long arrivedMs) {
        this.request = request;
        this.route = route;
        this.workspace = workspace;
        this.configVersion = configVersion;
        this.arrivedMs = arrivedMs;
    }

    void stagesDone(long nowMs) {
        stagesMs = nowMs - arrivedMs;
    }

    void stages(List<String> progress) {
        stages = progress;
    }

    void firstByte(long nowMs) {
        firstByteMs = nowMs - arrivedMs;
    }

    void attempt(RelayEndpoint endpoint, long listAgeMs, long nowMs) {
        attempts.add(endpoint.id() + " version " + endpoint.softwareVersion() + " load "
                + Math.round(endpoint.state().estimatedLoad()) + " list " + listAgeMs + " ms old, sent"
                + describeTime(nowMs));
    }

    private String describeTime(long nowMs) {
        return " after " + (nowMs - arrivedMs) + " ms";
    }

    void engineChosen(EngineAssignment chosen, InputLocation inputs) {
        String by = chosen.coordinator() == null ? "this box" : chosen.coordinator();
        EngineEstimate expected = chosen.estimate();
        String fetched = chosen.fetchFrom() == null ? "" : ", fetching from " + chosen.fetchFrom();
        attempts.add("chosen by " + by + ", first answer expected in " + expected.firstAnswerMs() + " ms with "
                + expected.waitMs() + " ms of waiting and " + expected.prefillTokens() + " tokens to read" + fetched
                + describePlace(chosen, inputs));
    }

    private static String describePlace(EngineAssignment chosen, InputLocation inputs) {
        String engineDomain = chosen.endpoint().identity().failureDomain();
        return ", in " + engineDomain
                + (inputs.bytes() == 0 ? "" : ", " + inputs.bytes() + " bytes to fetch from " + inputs.failureDomain());
    }

    /** Records the head of a response, so that it can be compared with what the endpoint and the caller recorded. */
    void answered(ResponseHead head, String connection, long nowMs) {
        String signature = head.signed() ? "signature " + abbreviate(head.signature()) : "no signature";
        attempts.add("answered" + describeTime(nowMs) + " with status " + head.status() + " and " + signature + " on "
                + connection);
    }

    private static String abbreviate(String signature) {
        return signature.substring(0, Math.min(SIGNATURE_CHARS, signature.length()));
    }

    /** Records that an answer to an earlier request came in the place of the one to this request. */
    void surplusAnswer(int status, long nowMs) {
        attempts.add("surplus answer with status " + status + describeTime(nowMs));
    }

    /** Records how the stream of an attempt ended. */
    public void streamEnded(String end, int events, int unfinishedBytes) {
        attempts.add(
                "stream ended by " + end + " after " + events + " events and " + unfinishedBytes + " bytes of another");
    }

    void streamResumed(StreamVersion stream) {
        attempts.add("goes on at version " + stream.version() + ", by "
                + stream.source().code() + " " + stream.ageMs() + " ms old");
    }

    void attemptEnded(String how, String detail, long nowMs) {
        attempts.add(how + describeTime(nowMs) + ": " + detail);
    }

    /** Returns the request's identifier. */
    public String requestId() {
        return request.id();
    }

    /** Returns which stream it resumes, and after which event; empty when it resumes none. */
    public String resumes() {
        return request.lastEventId() == null ? "" : request.resumes() + " after event " + request.lastEventId();
    }

    /** Returns the name of its route. */
    public String route() {
        return route.name();
    }

    /** Returns its workspace. */
    public String workspace() {
        return workspace;
    }

    /** Returns the fingerprint of the request; computed on first use. */
    public Fingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = Fingerprint.of(workspace, request.method(), request.target(), request.body());
        }
        return fingerprint;
    }

    /** Returns the identifiers of the parts of its prompt, in order; the last one is the request's own. */
    public List<String> promptParts() {
        return request.prompt().stream().map(PromptPart::id).toList();
    }

    /** Returns the version of the configuration that was used. */
    public long configVersion() {
        return configVersion;
    }

    /** Returns when the request arrived, in ms of the monotonic clock. */
    public long arrivedMs() {
        return arrivedMs;
    }

    /** Returns the time until its stages were done, in ms; -1 when they were not. */
    public long stagesMs() {
        return stagesMs;
    }

    /** Returns the progress of each stage, and which box coordinated its pieces. */
    public List<String> stages() {
        return stages;
    }

    /** Returns the time until the first byte of the response, in ms; -1 when none came. */
    public long firstByteMs() {
        return firstByteMs;
    }

    /** Returns the endpoints that it was sent to and how each attempt ended, in order. */
    public List<String> attempts() {
        return List.copyOf(attempts);
    }
}
