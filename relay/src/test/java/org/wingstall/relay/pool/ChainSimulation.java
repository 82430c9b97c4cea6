package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.wire.Piece;

/**
 * Simulates requests that pass a chain of pools, and callers that return once after a refusal, at the time that they
 * were told. Time is simulated. Capacity for results and faults of endpoints are left to {@link PoolSimulation}.
 */
final class ChainSimulation {
    private static final double SLOT_WAIT_FRACTION = 0.5;

    private final Setup setup;
    private final Policy policy;
    private final SplittableRandom random;
    private final RetryAfter retryAfter;
    private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(this.nowMs);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final List<Pool> pools = new ArrayList<>();
    private final PoolWaitTable waits = new PoolWaitTable(clock);
    private final Counts counts = new Counts();
    private long nowMs;
    private long eventCount;

    /** Which code decides: whether waits of later pools count, and when callers retry. */
    record Policy(String name, boolean countsLaterWaits, PoolPolicies pools) {}

    /** The endpoints of one pool, each with one slot. */
    record PoolSize(int endpoints, PoolSpec spec) {}

    /** A kind of request; each has the same number of pieces in all pools of the chain. */
    record Kind(String name, int rank, double perSecond, int pieces, long targetMs, long deadlineMs) {}

    /** Pools in the order of the chain, kinds, bursts, and the time in which requests arrive. */
    record Setup(List<PoolSize> pools, List<Kind> kinds, List<PoolSimulation.Burst> bursts, long lengthMs) {}

    /** Outcomes of all requests; one that is refused and returns counts once. */
    static final class Counts {
        int requests;
        int inTime;
        int inTimeAtRetry;
        int late;
        int refusedOnce;
        int refusedTwice;
        int expired;
        long returnWaitMs;

        /**
         * Returns the value per request: 1 in time, 0.5 in time at the retry, 0.15 late, -0.25 refused twice or without
         * any response.
         */
        double value() {
            return (inTime + 0.5 * inTimeAtRetry + 0.15 * late - 0.25 * (refusedTwice + expired)) / requests;
        }

        /** Returns the mean time that refused callers wait before they return, in ms. */
        long meanReturnWaitMs() {
            return returnWaitMs / Math.max(1, refusedOnce);
        }

        @Override
        public String toString() {
            return "requests " + requests + ", in time " + inTime + ", at the retry " + inTimeAtRetry + ", late " + late
                    + ", refused once " + refusedOnce + ", refused twice " + refusedTwice + ", expired " + expired
                    + ", value " + Math.round(1000 * value()) / 1000.0 + ", mean wait " + meanReturnWaitMs();
        }
    }

    private record Event(long atMs, long number, Runnable action) {}

    private record Attempt(Kind kind, long arrivedMs, long targetAtMs, long callerDeadlineAtMs, boolean retry) {
        Urgency urgency() {
            long latestEndMs = Math.min(callerDeadlineAtMs, arrivedMs + Math.round(1.5 * kind.targetMs()));
            return new Urgency(kind.rank(), targetAtMs, latestEndMs).withCallerDeadline(callerDeadlineAtMs);
        }
    }

    ChainSimulation(Setup setup, Policy policy, long seed) {
        this.setup = setup;
        this.policy = policy;
        this.random = new SplittableRandom(seed);
        SplittableRandom jitter = random.split();
        this.retryAfter = new RetryAfter(jitter::nextDouble);
    }

    Counts run() {
        setup.pools().forEach(size -> pools.add(new Pool(size, pools.size())));
        for (Kind kind : setup.kinds()) {
            scheduleArrival(kind, 0, random.split());
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        return counts;
    }

    private void schedule(long atMs, Runnable action) {
        events.add(new Event(atMs, eventCount++, action));
    }

    private void scheduleArrival(Kind kind, long afterMs, SplittableRandom gaps) {
        double times = 1;
        for (PoolSimulation.Burst burst : setup.bursts()) {
            boolean during = burst.fromMs() <= afterMs && afterMs < burst.untilMs();
            times *= during && burst.kind().equals(kind.name()) ? burst.factor() : 1;
        }
        double gapMs = -Math.log(1 - gaps.nextDouble()) * 1000 / (kind.perSecond() * times);
        long atMs = afterMs + Math.max(1, Math.round(gapMs));
        if (atMs < setup.lengthMs()) {
            schedule(atMs, () -> {
                counts.requests++;
                begin(new Attempt(kind, nowMs, nowMs + kind.targetMs(), nowMs + kind.deadlineMs(), false));
                scheduleArrival(kind, nowMs, gaps);
            });
        }
    }

    private void begin(Attempt attempt) {
        long usualMs = laterMs(attempt.kind(), 0, false);
        long laterMs = policy.countsLaterWaits() ? laterMs(attempt.kind(), 0, true) : usualMs;
        pools.get(0).submit(attempt, attempt.urgency().beforeStages(laterMs, laterMs - usualMs));
    }

    private long laterMs(Kind kind, int after, boolean withWaits) {
        long sumMs = 0;
        for (Pool later : pools.subList(after + 1, pools.size())) {
            PoolSpec spec = later.spec;
            long waitMs = withWaits ? waits.waitMs(later.name, kind.rank()) : 0;
            sumMs += Math.round(spec.callMs(kind.pieces()) + Math.max(waitMs, SLOT_WAIT_FRACTION * spec.baseMs()));
        }
        return sumMs;
    }

    private void stageDone(Attempt attempt, int index) {
        if (index + 1 < pools.size()) {
            Urgency urgency = attempt.urgency().beforeStages(laterMs(attempt.kind(), index + 1, false), 0);
            pools.get(index + 1).submit(attempt, urgency);
        } else if (nowMs > attempt.targetAtMs()) {
            counts.late++;
        } else if (attempt.retry()) {
            counts.inTimeAtRetry++;
        } else {
            counts.inTime++;
        }
    }

    /** A caller returns once, if it is told to wait for at most a third of its remaining time. */
    private void refused(Attempt attempt, RetryTime time) {
        if (attempt.retry()) {
            counts.refusedTwice++;
            return;
        }
        counts.refusedOnce++;
        long maxMs = (attempt.callerDeadlineAtMs() - nowMs) / 3;
        long waitMs = Math.min(maxMs, retryAfter.hintMs(time.atLeast(300)));
        counts.returnWaitMs += waitMs;
        schedule(
                nowMs + waitMs,
                () -> begin(new Attempt(
                        attempt.kind(), nowMs, nowMs + attempt.kind().targetMs(), attempt.callerDeadlineAtMs(), true)));
    }

    /** One pool: admission, order and retry times are the real ones; a call takes groups in order until it is full. */
    private final class Pool {
        private final PoolSpec spec;
        private final String name;
        private final int index;
        private final long[] freeAtMs;
        private final List<PieceGroup> waiting = new ArrayList<>();
        private final Map<PieceGroup, Attempt> attempts = new HashMap<>();
        private final PoolLoad load = new PoolLoad(clock);
        private final CallTimeEstimator times = new CallTimeEstimator();
        private final RetryTimes retryTimes = policy.pools().newRetryTimes().get();

        Pool(PoolSize size, int index) {
            this.spec = size.spec();
            this.index = index;
            this.name = "pool-" + index;
            this.freeAtMs = new long[size.endpoints()];
        }

        void submit(Attempt attempt, Urgency urgency) {
            List<PieceTask> tasks = new ArrayList<>();
            for (int i = 0; i < attempt.kind().pieces(); i++) {
                Piece piece = index == 0
                        ? new Piece("r", 0, i, "key", List.of(), "key")
                        : new Piece("r", index, i, null, List.of("handle"), "key");
                tasks.add(new PieceTask(piece, urgency, new PieceTask.Placement("", 1, 0), (task, outcome) -> {}));
            }
            PieceGroup group = new PieceGroup(tasks, nowMs, times.callMs(spec, tasks.size()), false);
            attempts.put(group, attempt);
            waiting.add(group);
            load.recordArrival(times.slotTimeMs(spec, tasks.size()));
            dispatch();
        }

        private PoolForecast forecast() {
            List<Long> free = new ArrayList<>();
            for (long atMs : freeAtMs) {
                free.add(Math.max(nowMs, atMs));
            }
            return new PoolForecast(free, spec.maxBatchSize(), pieces -> times.callMs(spec, pieces));
        }

        private void dispatch() {
            for (PieceGroup group : List.copyOf(waiting)) {
                if (group.urgency().deadlineAtMs() <= nowMs) {
                    waiting.remove(group);
                    attempts.remove(group);
                    counts.expired++;
                }
            }
            PoolForecast forecast = forecast();
            int slots = freeAtMs.length;
            AdmissionContext context =
                    new AdmissionContext(forecast, group -> nowMs, load.relativeTo(slots), load.usualRelativeTo(slots));
            List<PieceGroup> inOrder = policy.pools().order().sorted(waiting, nowMs);
            for (PoolAdmission.RejectedGroup one : policy.pools().admission().rejected(inOrder, context, nowMs)) {
                waiting.remove(one.group());
                refused(attempts.remove(one.group()), retryTimes.retryTime(one, context, nowMs));
            }
            for (int slot = 0; slot < freeAtMs.length && !waiting.isEmpty(); slot++) {
                if (freeAtMs[slot] <= nowMs) {
                    call(slot);
                }
            }
        }

        private void call(int slot) {
            List<Attempt> carried = new ArrayList<>();
            int pieces = 0;
            for (PieceGroup group : policy.pools().order().sorted(waiting, nowMs)) {
                if (pieces + group.size() <= spec.maxBatchSize()) {
                    pieces += group.size();
                    waiting.remove(group);
                    carried.add(attempts.remove(group));
                }
            }
            int sent = pieces;
            long tookMs = Math.round(spec.callMs(sent) * random.nextDouble(0.95, 1.1));
            freeAtMs[slot] = nowMs + tookMs;
            schedule(freeAtMs[slot], () -> {
                times.recordCall(spec, sent, tookMs);
                for (Attempt attempt : carried) {
                    int rank = attempt.kind().rank();
                    waits.record(name, rank, PoolWaits.forecastMs(waiting, rank, forecast(), nowMs));
                    stageDone(attempt, index);
                }
                dispatch();
            });
        }
    }
}
