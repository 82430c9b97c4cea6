package org.wingstall.soak;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashLog;
import org.wingstall.standin.fleet.LimitLog;
import org.wingstall.standin.fleet.StatementLog;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.fleet.WorkerStandin.Arrival;

/**
 * What callers, endpoints and the store saw during a soak. Safe for use on any thread.
 *
 * <p>{@code observations.calls().stream().filter(CallRecord::success)}
 *
 * @since 0.3
 */
final class Observations {
    /** Time without disturbance after which a box has to keep bounds in time, in ms; the platform's own figure. */
    static final long CONTACT_MS = 3000;

    /** Sender of what is no caller's request. */
    private static final String NO_SENDER = "";

    private static final String LIFE = "#";

    private final long zeroNs = System.nanoTime();
    private final Queue<CallRecord> calls = new ConcurrentLinkedQueue<>();
    private final Queue<StreamTry> streamTries = new ConcurrentLinkedQueue<>();
    private final Queue<BrittleSpan> brittleSpans = new ConcurrentLinkedQueue<>();
    private final Queue<SeenArrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<SeenArrival> strangers = new ConcurrentLinkedQueue<>();
    private final Queue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();
    private final Map<String, String> repeatsByBox = new ConcurrentHashMap<>();
    private final CrashLog crashes = new CrashLog();
    private final CrashLog partCrashes = new CrashLog();
    private final Queue<PromptCall> promptCalls = new ConcurrentLinkedQueue<>();
    private final LimitLog limits = new LimitLog();
    private final LimitLog cold = new LimitLog(ColdReturns.RULE);
    private final LimitLog coldAgain = new LimitLog(ColdAgain.RULE);
    private final Map<String, String> senders = new ConcurrentHashMap<>();
    private final StatementLog statements =
            new StatementLog(call -> senders.getOrDefault(String.valueOf(WorkerStandin.requestId(call)), NO_SENDER));
    private final Map<String, String> domains = new ConcurrentHashMap<>();
    private final Queue<Evacuation> evacuations = new ConcurrentLinkedQueue<>();
    private final Queue<LinkCut> linkCuts = new ConcurrentLinkedQueue<>();
    private final Queue<String> unplannedEnds = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> leavingSinceMs = new ConcurrentHashMap<>();
    private final Map<Long, Long> versionSinceMs = new ConcurrentHashMap<>();

    /** An arrival and its time. */
    record SeenArrival(Arrival what, long atMs) {}

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - zeroNs);
    }

    /** Records the box, and how often it had been started, that a request is about to be sent to. */
    void sending(String id, String box, int life) {
        senders.put(id, box + LIFE + life);
    }

    /** Returns the box of a sender; empty when that is not known. */
    static String boxOf(String sender) {
        int end = sender.indexOf(LIFE);
        return end < 0 ? "" : sender.substring(0, end);
    }

    /** Returns what endpoints stated in their answers, by the box that they answered. */
    StatementLog statements() {
        return statements;
    }

    void called(CallRecord call) {
        calls.add(call);
    }

    void brittle(BrittleSpan span) {
        brittleSpans.add(span);
    }

    Collection<BrittleSpan> brittleSpans() {
        return brittleSpans;
    }

    void streamTried(StreamTry tried) {
        streamTries.add(tried);
    }

    /** Returns the tries of callers that take streams up again, in the order of their ends. */
    Collection<StreamTry> streamTries() {
        return streamTries;
    }

    /** Records a request at an endpoint; one without an identifier is no caller's. */
    void arrived(Arrival arrival) {
        SeenArrival seen = new SeenArrival(arrival, nowMs());
        (arrival.id() == null ? strangers : arrivals).add(seen);
    }

    /** Returns the requests that came to an endpoint without an identifier. */
    Collection<SeenArrival> strangers() {
        return strangers;
    }

    void disturbed(Disturbance disturbance) {
        disturbances.add(disturbance);
    }

    /** Records a repeat of the request that crashes endpoints. */
    void repeated(String id, String box) {
        repeatsByBox.put(id, box);
    }

    /** Returns the box that a repeat was sent to. */
    String boxOfRepeat(String id) {
        return repeatsByBox.get(id);
    }

    /** Returns the runs of the request that crashes endpoints. */
    CrashLog crashes() {
        return crashes;
    }

    /** Returns the runs of requests with the part of prompts that crashes endpoints. */
    CrashLog partCrashes() {
        return partCrashes;
    }

    void promptCalled(PromptCall call) {
        promptCalls.add(call);
    }

    /** Returns the requests without that part which share the other parts. */
    Collection<PromptCall> promptCalls() {
        return promptCalls;
    }

    /** Returns the requests of endpoints, and the limits that they stated. */
    LimitLog limits() {
        return limits;
    }

    /** Returns the requests of endpoints that come back cold. */
    LimitLog cold() {
        return cold;
    }

    /** Returns the requests of endpoints that turn cold while they serve. */
    LimitLog coldAgain() {
        return coldAgain;
    }

    /** Returns a time of the process's steady clock in ms of the soak's clock. */
    long soakMs(long steadyMs) {
        return steadyMs - TimeUnit.NANOSECONDS.toMillis(zeroNs);
    }

    /** Records the failure domain that an endpoint stands in. */
    void placed(String endpoint, String domain) {
        domains.put(endpoint, domain);
    }

    String domainOf(String endpoint) {
        return domains.get(endpoint);
    }

    void evacuated(Evacuation evacuation) {
        evacuations.add(evacuation);
    }

    Collection<Evacuation> evacuations() {
        return evacuations;
    }

    void linksCut(LinkCut cut) {
        linkCuts.add(cut);
    }

    Collection<LinkCut> linkCuts() {
        return linkCuts;
    }

    void endedByItself(String box) {
        unplannedEnds.add(box);
    }

    /** Records that the store has taken in that an endpoint leaves. */
    void leaving(String endpoint) {
        leavingSinceMs.put(endpoint, nowMs());
    }

    /** Records that the store has taken in a version of the configuration. */
    void configured(long version) {
        versionSinceMs.put(version, nowMs());
    }

    Collection<CallRecord> calls() {
        return calls;
    }

    Collection<SeenArrival> arrivals() {
        return arrivals;
    }

    Collection<Disturbance> disturbances() {
        return disturbances;
    }

    Collection<String> unplannedEnds() {
        return unplannedEnds;
    }

    Map<String, Long> leavingSinceMs() {
        return leavingSinceMs;
    }

    Map<Long, Long> versionSinceMs() {
        return versionSinceMs;
    }

    Map<String, CallRecord> callsById() {
        return calls.stream().collect(Collectors.toMap(CallRecord::id, call -> call));
    }

    /** Returns the arrivals of requests that an endpoint ran, by the request's identifier. */
    Map<String, List<SeenArrival>> runsById() {
        return arrivals.stream()
                .filter(arrival -> arrival.what().ran())
                .collect(Collectors.groupingBy(arrival -> arrival.what().id()));
    }

    /** Returns whether a box and the store were free of faults from some time before a span until its end. */
    boolean inTouch(String box, long fromMs, long untilMs) {
        return calm(box, fromMs, untilMs, true) && calm(Disturbance.STORE, fromMs, untilMs, true);
    }

    /** Returns the same as {@link #inTouch}, but with connections that fell silent left out. */
    boolean inTouchBesideSilence(String box, long fromMs, long untilMs) {
        return calm(Disturbance.STORE, fromMs, untilMs, true)
                && disturbances.stream()
                        .filter(disturbance -> !disturbance.silencesBox())
                        .noneMatch(disturbance -> disturbance.touches(box, fromMs - CONTACT_MS, untilMs));
    }

    /** Returns when connections of a box last fell silent before a time, in ms; far in the past if they never did. */
    long silencedMs(String box, long beforeMs) {
        return disturbances.stream()
                .filter(disturbance -> disturbance.silencesBox()
                        && disturbance.target().equals(box)
                        && disturbance.untilMs() <= beforeMs)
                .mapToLong(Disturbance::untilMs)
                .max()
                .orElse(Long.MIN_VALUE / 2);
    }

    /** Returns whether a box had its links to endpoints from some time before a span until its end. */
    boolean linked(String box, long fromMs, long untilMs) {
        return linkCuts.stream()
                .filter(cut -> cut.boxes().contains(box))
                .noneMatch(cut -> cut.fromMs() <= untilMs && cut.untilMs() >= fromMs - CONTACT_MS);
    }

    /** Returns whether someone was free of faults from some time before a span until its end. */
    boolean calm(String who, long fromMs, long untilMs, boolean alsoOfPlannedWork) {
        return disturbances.stream()
                .filter(disturbance -> alsoOfPlannedWork || !disturbance.planned())
                .noneMatch(disturbance -> disturbance.touches(who, fromMs - CONTACT_MS, untilMs));
    }
}
