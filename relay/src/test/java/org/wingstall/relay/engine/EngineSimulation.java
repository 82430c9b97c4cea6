package org.wingstall.relay.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.RelayRequest.PromptPart;
import org.wingstall.schema.platform.Member;

/**
 * Simulates the selection of engines by a coordinator under load, with a model of the engines: prompts are prefilled
 * one after another, prefixes are cached, running requests slow the first decode steps, and some engines are slower for
 * a time. The coordinator learns of each first answer some ms later. Time is simulated.
 */
final class EngineSimulation {
    private static final double TOKENS_PER_MS = 50;
    private static final double FIRST_DECODE_MS = 60;
    private static final double CONCURRENCY_PENALTY = 1.0 / 15;
    private static final long RESPONSE_MS = 1000;
    private static final long CACHE_TOKENS = 300_000;
    private static final int PREFIX_TOKENS = 6300;
    private static final int PREFIXES = 600;
    private static final double REQUESTS_PER_MS = 0.17;
    private static final double BURST = 2.5;
    private static final double SPIKE_SLOWDOWN = 2.5;
    private static final long SPIKE_MS = 600;
    private static final long LENGTH_MS = 40_000;
    private static final long BURST_FROM_MS = 18_000;
    private static final long BURST_UNTIL_MS = 26_000;

    /** Answers to requests before this time are not counted, as nothing has been learned yet, in ms. */
    private static final long COUNTED_FROM_MS = 5000;

    private static final long[] TARGETS_MS = {1100, 1900};
    private static final int[] OWN_TOKENS = {2900, 2400, 700};

    private final SplittableRandom random;
    private final FleetSetup setup;
    private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(this.nowMs);
    private final RelayEndpoints endpoints = new RelayEndpoints(clock);
    private final EngineLoadBalancer loadBalancer;
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
    private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
    private final List<Answer> answers = new ArrayList<>();
    private long nowMs;
    private double nextArrivalMs;

    /**
     * The engines of a simulation.
     *
     * @param speeds speed of each engine relative to the mean
     * @param spikeShare share of the engines that are slower at any time
     */
    record FleetSetup(double[] speeds, double spikeShare) {
        /** Two thirds at 0.7 of the mean speed and a third at 1.7, of which 15 % are slower at any time. */
        static FleetSetup uneven(int engines) {
            double[] speeds = IntStream.range(0, engines)
                    .mapToDouble(i -> i % 3 == 0 ? 1.7 : 0.7)
                    .toArray();
            return new FleetSetup(speeds, 0.15);
        }

        static FleetSetup equal(int engines) {
            return new FleetSetup(equalSpeeds(engines), 0);
        }

        /** Equal engines of which 15 % are slower at any time. */
        static FleetSetup equalWithSpikes(int engines) {
            return new FleetSetup(equalSpeeds(engines), 0.15);
        }

        /** Part of the names of tests, which are listed when they are known to fail, so it must not change from run to run. */
        @Override
        public String toString() {
            return speeds.length + " engines and spikes of " + spikeShare;
        }

        private static double[] equalSpeeds(int engines) {
            double[] speeds = new double[engines];
            Arrays.fill(speeds, 1);
            return speeds;
        }
    }

    /**
     * Figures of a simulation.
     *
     * @param withinHalfTarget shares of first answers within half of each target
     * @param p95Ms 95th percentile of the time of first answers, in ms
     * @param busiest busy time of the busiest engine relative to the mean
     */
    record Result(double[] withinHalfTarget, double p95Ms, double busiest) {
        @Override
        public String toString() {
            return String.format(
                    "within half of 1,100 ms %.4f, of 1,900 ms %.4f, p95 %.0f ms, busiest engine %.2f of the mean",
                    withinHalfTarget[0], withinHalfTarget[1], p95Ms, busiest);
        }
    }

    private record Answer(int target, double tookMs) {}

    private record Event(double atMs, Runnable action) {}

    /** A model engine. */
    private static final class SimulatedEngine {
        private final double speed;
        private final LinkedHashMap<Integer, Boolean> cached = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
                return size() > CACHE_TOKENS / PREFIX_TOKENS;
            }
        };
        private final List<Double> responsesUntilMs = new ArrayList<>();
        private boolean spike;
        private double freeAtMs;
        private double busyMs;

        private SimulatedEngine(double speed) {
            this.speed = speed;
        }

        /** Returns when the first answer to a prompt that arrives now is sent. */
        private double answerAtMs(int prefix, int ownTokens, double nowMs, double noise) {
            double factor = (spike ? SPIKE_SLOWDOWN : 1) / speed * noise;
            int tokens = ownTokens + (prefix < 0 || cached.put(prefix, true) != null ? 0 : PREFIX_TOKENS);
            double prefillMs = factor * tokens / TOKENS_PER_MS;
            freeAtMs = Math.max(freeAtMs, nowMs) + prefillMs;
            busyMs += prefillMs;
            responsesUntilMs.removeIf(untilMs -> untilMs < nowMs);
            double decodeMs = factor * FIRST_DECODE_MS * (1 + CONCURRENCY_PENALTY * responsesUntilMs.size());
            responsesUntilMs.add(freeAtMs + decodeMs + RESPONSE_MS);
            return freeAtMs + decodeMs;
        }
    }

    EngineSimulation(FleetSetup setup, Function<SlowdownMean, EngineSlowdown> slowdowns, long seed) {
        this.setup = setup;
        this.random = new SplittableRandom(seed);
        this.loadBalancer = new EngineLoadBalancer(clock, engine -> false, slowdowns);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < setup.speeds().length; i++) {
            String id = "engine-" + i;
            engines.put(id, new SimulatedEngine(setup.speeds()[i]));
            members.add(new Member(
                    id, Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "llm", "v1", Member.State.LIVE, 1, 64, 0));
        }
        endpoints.applyList(members);
    }

    /** Runs the simulation. */
    Result run() {
        at(0, this::moveSpikes);
        at(0, this::request);
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMs = Math.max(nowMs, (long) next.atMs());
            next.action().run();
        }
        return result();
    }

    private void at(double atMs, Runnable action) {
        events.add(new Event(atMs, action));
    }

    private void moveSpikes() {
        engines.values().forEach(engine -> engine.spike = random.nextDouble() < setup.spikeShare());
        if (nowMs < LENGTH_MS) {
            at(nowMs + SPIKE_MS, this::moveSpikes);
        }
    }

    private void request() {
        int kind = random.nextInt(OWN_TOKENS.length);
        int prefix = kind == 0 ? random.nextInt(PREFIXES) : -1;
        int target = random.nextInt(TARGETS_MS.length);
        Prompt prompt = prompt(prefix, OWN_TOKENS[kind]);
        EngineLoadBalancer.Choice choice = loadBalancer.choose(new EngineLoadBalancer.SelectionContext(
                endpoints.ofService("llm"), prompt, InputLocation.NONE, TARGETS_MS[target], Optional.empty()));
        double sentAtMs = nowMs + 1 + random.nextDouble() * 3;
        at(sentAtMs, () -> arrive(choice, prefix, OWN_TOKENS[kind], target, sentAtMs));
        boolean burst = nowMs >= BURST_FROM_MS && nowMs < BURST_UNTIL_MS;
        double gapMs = -Math.log(1 - random.nextDouble()) / (REQUESTS_PER_MS * (burst ? BURST : 1));
        nextArrivalMs = Math.max(nextArrivalMs, nowMs) + gapMs;
        if (nextArrivalMs < LENGTH_MS) {
            at(nextArrivalMs, this::request);
        }
    }

    private Prompt prompt(int prefix, int ownTokens) {
        PromptPart own = new PromptPart("own" + random.nextLong(), ownTokens);
        return Prompt.of(prefix < 0 ? List.of(own) : List.of(new PromptPart("prefix" + prefix, PREFIX_TOKENS), own));
    }

    private void arrive(EngineLoadBalancer.Choice choice, int prefix, int ownTokens, int target, double sentAtMs) {
        RelayEndpoint endpoint = choice.endpoint();
        double noise = 0.9 + random.nextDouble() * 0.2;
        double answerAtMs = engines.get(endpoint.id()).answerAtMs(prefix, ownTokens, sentAtMs, noise);
        double receivedAtMs = answerAtMs + 1 + random.nextDouble() * 3;
        double tookMs = receivedAtMs - sentAtMs;
        if (sentAtMs >= COUNTED_FROM_MS) {
            answers.add(new Answer(target, tookMs));
        }
        at(
                receivedAtMs + 2 + random.nextDouble() * 20,
                () -> loadBalancer.recordFirstAnswer(endpoint, choice.estimate(), Math.round(tookMs)));
    }

    private Result result() {
        double[] within = new double[TARGETS_MS.length];
        for (int target = 0; target < within.length; target++) {
            int index = target;
            within[target] = answers.stream()
                    .filter(answer -> answer.target() == index)
                    .mapToInt(answer -> answer.tookMs() * 2 <= TARGETS_MS[index] ? 1 : 0)
                    .average()
                    .orElse(0);
        }
        double[] times = answers.stream().mapToDouble(Answer::tookMs).sorted().toArray();
        double meanMs = engines.values().stream()
                .mapToDouble(engine -> engine.busyMs)
                .average()
                .orElse(1);
        double mostMs = engines.values().stream()
                .mapToDouble(engine -> engine.busyMs)
                .max()
                .orElse(0);
        return new Result(within, times[(int) (times.length * 0.95)], mostMs / meanMs);
    }
}
