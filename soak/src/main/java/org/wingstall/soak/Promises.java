package org.wingstall.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.wingstall.soak.CallRecord.Route;
import org.wingstall.soak.Observations.SeenArrival;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashLog;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashingRun;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.LimitLog;
import org.wingstall.standin.fleet.PartialAnswer;
import org.wingstall.standin.fleet.StatementLog.Pair;
import org.wingstall.standin.fleet.WorkerStandin;

/**
 * The promises that a soak checks, from what callers, endpoints and the store saw.
 *
 * <p>{@code Promises.all(500).forEach(promise -> promise.broken(observations))}
 *
 * @since 0.3
 */
final class Promises {
    /** Time after which an endpoint that leaves gets no request, in ms; the platform's own figure. */
    static final long DRAIN_MS = 2000;

    /** Time after which a version is in force, in ms; the platform's own figure. */
    private static final long CONFIG_MS = 2000;

    /** Time after a version's effect was seen from which an older one may not be, in ms; the platform's own figure. */
    private static final long ROLLBACK_SLACK_MS = 250;

    /** Time beyond a deadline that an endpoint may be given, or a caller be left without answer, in ms. */
    private static final long DEADLINE_SLACK_MS = 500;

    /** Time within which an evacuation is obeyed, in ms; the platform's own figure. */
    static final long EVACUATION_MS = 5000;

    /** Window of the retry budget, in ms; the platform's own figure. */
    private static final long BUDGET_WINDOW_MS = 10_000;

    /** Endpoints that a request may end, and its sendings that may follow; the platform's own figures. */
    private static final int LOSSES = 3;

    private static final int PART_LOSSES = 5;

    private static final int LATER_SENDINGS = 3;

    /** Time after the third loss from which sendings count, in ms; the platform's own figure. */
    private static final long KNOWN_MS = 3000;

    private static final String SEAL = "seal-of-";

    private Promises() {}

    private record Named(String name, Function<Observations, List<String>> check) implements Promise {
        @Override
        public List<String> broken(Observations seen) {
            return check.apply(seen);
        }
    }

    /** Returns all promises, those in time stretched by some slack in ms. */
    static List<Promise> all(long slackMs) {
        return List.of(
                new Named("own whole answer", Promises::ownAnswer),
                new Named("a caller's request", Promises::callersRequest),
                new Named("at most one run", Promises::onceOnly),
                new Named("true refusal", Promises::trueRefusal),
                new Named("no work for who left", seen -> leaving(seen, slackMs)),
                new Named("configuration in force", seen -> configInForce(seen, slackMs)),
                new Named("configuration never back", Promises::configNeverBack),
                new Named("planned stop cuts nothing", Promises::plannedStop),
                new Named("retry budget", Promises::retryBudget),
                new Named("deadline passed on", seen -> deadlinePassedOn(seen, slackMs)),
                new Named("answer by the deadline", seen -> answeredInTime(seen, slackMs)),
                new Named("three losses and no more", seen -> heldBack(seen, seen.crashes(), LOSSES, slackMs)),
                new Named(
                        "five losses of a part and no more",
                        seen -> heldBack(seen, seen.partCrashes(), PART_LOSSES, slackMs)),
                new SoundPromptPromise(slackMs),
                new Named("no work for who is evacuated", seen -> evacuated(seen, slackMs)),
                new Named("no more than an endpoint takes", Promises::beyondLimit),
                new Named("no work for who stated that it leaves", Promises::statedLeaving),
                new Named("a pause that an endpoint asked for", Promises::pauses),
                new Named("no more than a cold endpoint bears", Promises::cold),
                new Named("no more than one that turned cold bears", Promises::turnedCold),
                new LinkCutPromise(slackMs),
                new BrittlePromise(),
                new StreamPromise(),
                new SingleRunPromise(),
                new ResumePromise(),
                new Named("no process ends by itself", seen -> List.copyOf(seen.unplannedEnds())));
    }

    /** Sendings by boxes in touch later than {@link #KNOWN_MS} after so many endpoints had ended. */
    private static List<String> heldBack(Observations seen, CrashLog crashes, int losses, long slackMs) {
        Set<String> ended = new HashSet<>();
        List<String> later = new ArrayList<>();
        long lastMs = Long.MAX_VALUE;
        for (CrashingRun run : crashes.runs()) {
            long atMs = seen.soakMs(run.atMs());
            boolean another = ended.add(run.incarnation());
            if (another && ended.size() == losses) {
                lastMs = atMs;
            } else if (ended.size() >= losses
                    && atMs > lastMs + KNOWN_MS + slackMs
                    && seen.inTouch(seen.boxOfRepeat(run.requestId()), atMs, atMs)) {
                later.add(run + " by " + seen.boxOfRepeat(run.requestId()) + ", " + (atMs - lastMs) + " ms after loss "
                        + losses);
            }
        }
        return later.size() > LATER_SENDINGS ? later : List.of();
    }

    /** A box that was paused since then is excused; one that was started again is another sender. */
    private static List<String> statedLeaving(Observations seen) {
        return seen
                .statements()
                .sentAfterLeaving(
                        arrival -> isCalm(seen, arrival.between(), 0, seen.soakMs(arrival.atMs()), Promises::isPause))
                .stream()
                .map(Object::toString)
                .toList();
    }

    /** A box or endpoint that any fault touched meanwhile is excused. */
    private static List<String> pauses(Observations seen) {
        return seen
                .statements()
                .brokenRests(rest -> isCalm(
                        seen, rest.between(), seen.soakMs(rest.fromMs()), seen.soakMs(rest.untilMs()), fault -> true))
                .stream()
                .map(Object::toString)
                .toList();
    }

    private static boolean isPause(Disturbance disturbance) {
        return disturbance.kind().equals(FaultPlan.Kind.BOX_PAUSE.name());
    }

    private static boolean isCalm(
            Observations seen, Pair between, long fromMs, long untilMs, Predicate<Disturbance> counted) {
        String box = Observations.boxOf(between.sender());
        return !box.isEmpty()
                && seen.disturbances().stream()
                        .filter(counted)
                        .noneMatch(fault -> fault.touches(box, fromMs, untilMs)
                                || fault.touches(between.endpoint(), fromMs, untilMs));
    }

    private static List<String> ownAnswer(Observations seen) {
        return seen.calls().stream()
                .filter(CallRecord::success)
                .filter(call -> !isOwn(call))
                .map(CallRecord::toString)
                .toList();
    }

    private static boolean isOwn(CallRecord call) {
        String expected = call.route().streamed()
                ? WorkerStandin.streamOf(call.id(), SoakFleet.EVENTS)
                : "answer to " + call.id();
        return PartialAnswer.withoutWriters(call.body()).equals(expected)
                && call.id().equals(call.answerId())
                && call.seal() != null;
    }

    private static List<String> onceOnly(Observations seen) {
        Map<String, CallRecord> calls = seen.callsById();
        return seen.runsById().entrySet().stream()
                .filter(runs -> runs.getValue().size() > 1)
                .filter(runs -> !isRepeatable(calls.get(runs.getKey())))
                .map(runs -> runs.getKey() + " ran " + runs.getValue().size() + " times")
                .toList();
    }

    /** A request whose record is missing was sent by a caller that was ended; it counts as repeatable. */
    private static boolean isRepeatable(CallRecord call) {
        return call == null || call.route().repeatable();
    }

    private static List<String> trueRefusal(Observations seen) {
        Map<String, List<SeenArrival>> runs = seen.runsById();
        return seen.calls().stream()
                .filter(call -> !call.route().repeatable() && call.refusedAsNotRun())
                .filter(call -> runs.containsKey(call.id()))
                .map(call -> call + " ran: " + runs.get(call.id()))
                .toList();
    }

    private static List<String> leaving(Observations seen, long slackMs) {
        Map<String, CallRecord> calls = seen.callsById();
        List<String> broken = new ArrayList<>();
        for (SeenArrival arrival : seen.arrivals()) {
            Long sinceMs = seen.leavingSinceMs().get(arrival.what().endpoint());
            CallRecord call = calls.get(arrival.what().id());
            boolean late = sinceMs != null && arrival.atMs() > sinceMs + DRAIN_MS + slackMs;
            if (late
                    && call != null
                    && seen.inTouch(call.box(), sinceMs, arrival.atMs())
                    && seen.calm(arrival.what().endpoint(), call.sentMs(), arrival.atMs(), true)) {
                broken.add(call.id() + " by " + call.box() + ", " + (arrival.atMs() - sinceMs) + " ms after "
                        + arrival.what().endpoint() + " left");
            }
        }
        return broken;
    }

    private static long versionOf(CallRecord call) {
        String service = call.seal().substring(SEAL.length(), call.seal().lastIndexOf('-'));
        return Long.parseLong(service.substring(FleetStandin.serviceOfVersion(0).length() - 1));
    }

    private static List<CallRecord> versioned(Observations seen) {
        return seen.calls().stream()
                .filter(call -> call.route() == Route.VERSIONED && call.success() && call.seal() != null)
                .sorted(Comparator.comparingLong(CallRecord::sentMs))
                .toList();
    }

    private static List<String> configInForce(Observations seen, long slackMs) {
        List<String> broken = new ArrayList<>();
        for (CallRecord call : versioned(seen)) {
            for (Map.Entry<Long, Long> version : seen.versionSinceMs().entrySet()) {
                long inForceMs = Math.max(
                        version.getValue() + CONFIG_MS,
                        seen.silencedMs(call.box(), call.endedMs()) + Observations.CONTACT_MS);
                boolean due = call.sentMs() > inForceMs + slackMs;
                if (due
                        && versionOf(call) < version.getKey()
                        && seen.inTouchBesideSilence(call.box(), version.getValue(), call.endedMs())) {
                    broken.add(call + " although version " + version.getKey() + " came "
                            + (call.sentMs() - version.getValue()) + " ms before");
                }
            }
        }
        return broken;
    }

    private static List<String> configNeverBack(Observations seen) {
        List<String> broken = new ArrayList<>();
        Map<String, List<CallRecord>> byLife =
                versioned(seen).stream().collect(Collectors.groupingBy(call -> call.box() + "/" + call.life()));
        for (List<CallRecord> life : byLife.values()) {
            for (CallRecord later : life) {
                life.stream()
                        .filter(call -> call.endedMs() + ROLLBACK_SLACK_MS < later.sentMs())
                        .filter(call -> versionOf(call) > versionOf(later))
                        .findFirst()
                        .ifPresent(earlier -> broken.add(later + " after " + earlier));
            }
        }
        return broken;
    }

    /** Counts requests that an endpoint ran, and whose connection then ended without an answer, around planned work only. */
    private static List<String> plannedStop(Observations seen) {
        Map<String, List<SeenArrival>> runs = seen.runsById();
        List<String> broken = new ArrayList<>();
        for (CallRecord call : seen.calls()) {
            boolean stopped = !seen.calm(call.box(), call.sentMs(), call.endedMs(), true)
                    && seen.calm(call.box(), call.sentMs(), call.endedMs(), false)
                    && seen.linked(call.box(), call.sentMs(), call.endedMs())
                    && seen.calm(Disturbance.STORE, call.sentMs(), call.endedMs(), false);
            List<SeenArrival> own = runs.getOrDefault(call.id(), List.of());
            boolean sound =
                    own.stream().allMatch(run -> seen.calm(run.what().endpoint(), call.sentMs(), call.endedMs(), true));
            boolean inTime = call.endedMs() - call.sentMs() < Caller.DEADLINE_MS;
            if (stopped && call.broken() && inTime && !own.isEmpty() && sound) {
                broken.add(call.toString());
            }
        }
        return broken;
    }

    /** Requests that boxes in touch sent into a failure domain that had been evacuated for long enough. */
    private static List<String> evacuated(Observations seen, long slackMs) {
        Map<String, CallRecord> calls = seen.callsById();
        List<String> broken = new ArrayList<>();
        for (Evacuation evacuation : seen.evacuations()) {
            long obeyedMs = evacuation.fromMs() + EVACUATION_MS + slackMs;
            seen.arrivals().stream()
                    .filter(arrival -> arrival.atMs() > obeyedMs && arrival.atMs() < evacuation.untilMs())
                    .filter(arrival -> evacuation
                            .domain()
                            .equals(seen.domainOf(arrival.what().endpoint())))
                    .filter(arrival -> calls.containsKey(arrival.what().id()))
                    .filter(arrival -> {
                        String box = calls.get(arrival.what().id()).box();
                        return seen.inTouch(box, arrival.atMs(), arrival.atMs())
                                && seen.calm(arrival.what().endpoint(), arrival.atMs(), arrival.atMs(), true);
                    })
                    .forEach(arrival -> broken.add(evacuation + ": " + arrival));
        }
        return broken;
    }

    /** A limit is stated in answers, so boxes learn it without the store. */
    private static List<String> beyondLimit(Observations seen) {
        return excesses(seen, seen.limits(), (call, atMs) -> seen.calm(call.box(), call.sentMs(), atMs, true));
    }

    /** Boxes learn from the store that an endpoint has turned cold. */
    private static List<String> turnedCold(Observations seen) {
        return excesses(seen, seen.coldAgain(), (call, atMs) -> seen.inTouch(call.box(), call.sentMs(), atMs));
    }

    /** Requests that are no caller's always count, since nobody knows their box. */
    private static List<String> excesses(Observations seen, LimitLog log, BiPredicate<CallRecord, Long> counts) {
        Map<String, CallRecord> calls = seen.callsById();
        return log
                .excesses(arrival -> {
                    CallRecord call = calls.get(arrival.what());
                    return call == null || counts.test(call, seen.soakMs(arrival.atMs()));
                })
                .stream()
                .map(Objects::toString)
                .toList();
    }

    /** Requests of all boxes count, whether at fault or not. */
    private static List<String> cold(Observations seen) {
        return seen.cold().excesses(arrival -> true).stream()
                .map(Objects::toString)
                .toList();
    }

    private static List<String> callersRequest(Observations seen) {
        return seen.strangers().stream().map(Objects::toString).toList();
    }

    private static List<String> retryBudget(Observations seen) {
        List<String> broken = new ArrayList<>();
        Map<String, List<SeenArrival>> byService = seen.arrivals().stream()
                .collect(Collectors.groupingBy(
                        arrival -> serviceOf(arrival.what().endpoint())));
        for (Map.Entry<String, List<SeenArrival>> service : byService.entrySet()) {
            Map<Long, Integer> again = new HashMap<>();
            Map<Long, Integer> first = new HashMap<>();
            Map<String, Integer> seenIds = new HashMap<>();
            for (SeenArrival arrival : service.getValue()) {
                long window = arrival.atMs() / BUDGET_WINDOW_MS;
                boolean repeat = seenIds.merge(arrival.what().id(), 1, Integer::sum) > 1;
                (repeat ? again : first).merge(window, 1, Integer::sum);
            }
            again.forEach((window, count) -> {
                int requests = Math.max(first.getOrDefault(window, 0), first.getOrDefault(window - 1, 0));
                if (count > SoakFleet.RETRY_RATIO * requests + SoakFleet.RETRY_EXTRA) {
                    broken.add(service.getKey() + ": " + count + " repeats beside " + requests + " requests");
                }
            });
        }
        return broken;
    }

    private static String serviceOf(String endpoint) {
        return endpoint.substring(0, endpoint.lastIndexOf('-'));
    }

    private static List<String> deadlinePassedOn(Observations seen, long slackMs) {
        Map<String, CallRecord> calls = seen.callsById();
        return seen.arrivals().stream()
                .filter(arrival -> calls.containsKey(arrival.what().id()))
                .filter(arrival -> {
                    CallRecord call = calls.get(arrival.what().id());
                    long untilMs = arrival.atMs() + arrival.what().deadlineMs();
                    boolean longer = untilMs > call.sentMs() + Caller.DEADLINE_MS + DEADLINE_SLACK_MS + slackMs;
                    boolean untouched = seen.inTouch(call.box(), call.sentMs(), arrival.atMs())
                            && seen.calm(arrival.what().endpoint(), call.sentMs(), arrival.atMs(), true);
                    return arrival.what().deadlineMs() <= 0 || longer && untouched;
                })
                .map(Objects::toString)
                .toList();
    }

    /** A stream that has begun may go on; other requests have a final answer by the deadline. */
    private static List<String> answeredInTime(Observations seen, long slackMs) {
        return seen.calls().stream()
                .filter(call -> !call.route().streamed())
                .filter(call -> call.endedMs() - call.sentMs() > Caller.DEADLINE_MS + DEADLINE_SLACK_MS + slackMs)
                .filter(call -> seen.inTouch(call.box(), call.sentMs(), call.endedMs()))
                .map(CallRecord::toString)
                .toList();
    }
}
