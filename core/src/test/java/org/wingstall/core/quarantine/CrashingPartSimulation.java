package org.wingstall.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.answer.Reason;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;

/**
 * Simulates boxes, endpoints, and callers of which some send a part that crashes endpoints, in steps of events.
 *
 * <p>{@code new CrashingPartSimulation(load, seed).runFor(30_000).crashes()}
 */
final class CrashingPartSimulation {
    /** Time from a message at one box to its effect at another, in ms. */
    private static final long MESSAGE_MS = 5;

    private static final long RESTART_MS = 3000;
    private static final long CRASH_MS = 60;
    private static final long HEAD_MS = 80;
    private static final long STREAM_MS = 900;
    /** Time for which requests wait for a trial, and the pause between two looks, in ms. */
    private static final long PATIENCE_MS = 900;

    private static final long POLL_MS = 100;
    private static final String SYSTEM = "system";
    private static final Fingerprint SYSTEM_PART = Fingerprint.ofPart("llm", "m", SYSTEM);
    private static final int SUBJECTS = 20;

    /**
     * What is simulated.
     *
     * @param crashing the crashing parts; each request with one names it behind the system part
     * @param crashingPerSecond requests with a crashing part, of all callers
     * @param soundPerSecond requests without one
     * @param harmlessUntilMs time until which the parts crash nothing, in ms
     */
    record Load(
            int boxes,
            int endpoints,
            List<String> crashing,
            double crashingPerSecond,
            double soundPerSecond,
            long harmlessUntilMs) {}

    private final Load load;
    private final Random random;
    private final List<Box> boxes = new ArrayList<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final List<Long> crashTimesMs = new ArrayList<>();
    private final List<Long> crashingSendTimesMs = new ArrayList<>();
    private long nowMs = 1000;
    private long order;
    private int requests;
    private int soundRequests;
    private int soundBlocked;
    private int systemHeld;

    private record Event(long atMs, long order, Runnable action) {}

    private final class Box implements Quarantine.Listener {
        private final int number;
        private final Quarantine quarantine;

        Box(int number) {
            this.number = number;
            this.quarantine = new Quarantine("box-" + number, () -> TimeUnit.MILLISECONDS.toNanos(nowMs), this);
        }

        @Override
        public void broadcast(CrashNews news, String exceptBox) {
            boxes.stream()
                    .filter(other -> other != this && !("box-" + other.number).equals(exceptBox))
                    .forEach(other -> after(MESSAGE_MS, () -> other.quarantine.receive("box-" + number, news)));
        }

        @Override
        public void persist(CrashReport report) {}

        @Override
        public void changed(CrashReport report, int activeLosses) {}

        @Override
        public void lossReported(String endpoint) {}

        @Override
        public void lostAfterEnd(String endpoint, int lost) {}
    }

    private static final class Endpoint {
        private final int number;
        private final Set<Run> runs = new LinkedHashSet<>();
        private int life;
        private boolean down;

        Endpoint(int number) {
            this.number = number;
        }

        String key() {
            return "e" + number + "-" + life;
        }
    }

    private final class Run {
        private final RequestQuarantine request;
        private final PromptQuarantine prompt;
        private final boolean crashing;
        private final Endpoint endpoint;
        private final long sentAtMs = nowMs;

        Run(RequestQuarantine request, PromptQuarantine prompt, boolean crashing, Endpoint endpoint) {
            this.request = request;
            this.prompt = prompt;
            this.crashing = crashing;
            this.endpoint = endpoint;
        }
    }

    CrashingPartSimulation(Load load, long seed) {
        this.load = load;
        this.random = new Random(seed);
        for (int i = 0; i < load.boxes(); i++) {
            boxes.add(new Box(i));
        }
        for (int i = 0; i < load.endpoints(); i++) {
            endpoints.add(new Endpoint(i));
        }
    }

    private void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, order++, action));
    }

    CrashingPartSimulation runFor(long durationMs) {
        long endMs = nowMs + durationMs;
        arrive(load.soundPerSecond(), this::soundRequest);
        if (!load.crashing().isEmpty()) {
            arrive(load.crashingPerSecond(), this::crashingRequest);
        }
        while (!events.isEmpty() && events.peek().atMs() < endMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        return this;
    }

    /** Ends endpoints at once, for a reason that lies in no request. */
    void endTogether(long atMs, int count) {
        after(atMs, () -> endpoints.stream().limit(count).toList().forEach(this::end));
    }

    private void arrive(double perSecond, Runnable request) {
        long gapMs = Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1000 / perSecond));
        after(gapMs, () -> {
            request.run();
            arrive(perSecond, request);
        });
    }

    private void soundRequest() {
        soundRequests++;
        String subject = "subject-" + random.nextInt(SUBJECTS);
        send(List.of(SYSTEM, subject), false);
    }

    private void crashingRequest() {
        String part = load.crashing().get(random.nextInt(load.crashing().size()));
        send(List.of(SYSTEM, part), nowMs >= load.harmlessUntilMs());
    }

    private void send(List<String> partIds, boolean crashing) {
        Quarantine quarantine = boxes.get(random.nextInt(boxes.size())).quarantine;
        Fingerprint id = Fingerprint.of("canteen", "POST", "/" + requests++, new byte[0]);
        List<Fingerprint> parts = partIds.stream()
                .map(part -> Fingerprint.ofPart("llm", "m", part))
                .toList();
        PromptQuarantine prompt = new PromptQuarantine(quarantine, () -> id, parts);
        trySend(prompt, new RequestQuarantine(quarantine, () -> id), crashing, nowMs + PATIENCE_MS);
    }

    private void trySend(PromptQuarantine prompt, RequestQuarantine request, boolean crashing, long untilMs) {
        Optional<QuarantineRefusal> refusal = prompt.refusal();
        boolean waits = refusal.isPresent() && refusal.get().reason() == Reason.PROMPT_PART_ON_TRIAL;
        if (waits && nowMs + POLL_MS < untilMs) {
            after(POLL_MS, () -> trySend(prompt, request, crashing, untilMs));
        } else if (refusal.isPresent()) {
            recordRefusal(refusal.get(), crashing);
        } else {
            endpoints.stream()
                    .filter(endpoint -> !endpoint.down)
                    .skip(random.nextInt(endpoints.size()))
                    .findFirst()
                    .or(() -> endpoints.stream()
                            .filter(endpoint -> !endpoint.down)
                            .findFirst())
                    .ifPresent(endpoint -> start(new Run(request, prompt, crashing, endpoint)));
        }
    }

    private void recordRefusal(QuarantineRefusal refusal, boolean crashing) {
        if (!crashing) {
            soundBlocked++;
            boolean system = boxes.get(0).quarantine.refusal(() -> SYSTEM_PART).isPresent();
            systemHeld += system && refusal.reason() == Reason.PROMPT_PART_QUARANTINED ? 1 : 0;
        }
    }

    private void start(Run run) {
        run.prompt.sent(run.endpoint.key());
        run.endpoint.runs.add(run);
        if (run.crashing) {
            crashingSendTimesMs.add(nowMs);
            after(HEAD_MS + CRASH_MS, () -> crash(run));
        } else {
            after(HEAD_MS + PromptQuarantine.SURVIVED_MS, () -> ifRunning(run, run.prompt::survived));
            after(HEAD_MS + STREAM_MS, () -> ifRunning(run, () -> run.endpoint.runs.remove(run)));
        }
    }

    private static void ifRunning(Run run, Runnable action) {
        if (run.endpoint.runs.contains(run)) {
            action.run();
        }
    }

    private void crash(Run run) {
        if (run.endpoint.runs.contains(run)) {
            crashTimesMs.add(nowMs);
            end(run.endpoint);
        }
    }

    private void end(Endpoint endpoint) {
        List<Run> lost = new ArrayList<>(endpoint.runs);
        String key = endpoint.key();
        endpoint.runs.clear();
        endpoint.down = true;
        lost.forEach(run -> {
            run.request.endpointLost(run.prompt, key, run.sentAtMs);
            run.prompt.endTrials();
        });
        after(RESTART_MS, () -> {
            endpoint.life++;
            endpoint.down = false;
        });
    }

    int crashes() {
        return crashTimesMs.size();
    }

    /** Returns the requests with a crashing part that were sent later than a time after the given crash. */
    long sentLaterThan(int crash, long afterMs) {
        if (crashTimesMs.size() < crash) {
            return 0;
        }
        long fromMs = crashTimesMs.get(crash - 1) + afterMs;
        return crashingSendTimesMs.stream().filter(atMs -> atMs > fromMs).count();
    }

    /** Returns the requests that were refused for a part that all requests contain. */
    int systemHeld() {
        return systemHeld;
    }

    /** Returns the share of requests without a crashing part that were refused for one that is held or on trial. */
    double soundBlockedShare() {
        return (double) soundBlocked / Math.max(1, soundRequests);
    }
}
