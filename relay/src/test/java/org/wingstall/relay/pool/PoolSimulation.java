package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.wire.Piece;

/**
 * Replays a load on the decisions of one pool, against a model of its endpoints: what a call costs, the room that results
 * take until their reader has them, endpoints that are slow or silent. Time is simulated, so a minute of load takes some ms.
 */
final class PoolSimulation {
    /** Pause between two offers of what found no endpoint, in ms; that of the pool itself. */
    private static final long OFFER_AGAIN_MS = 15;

    private final PoolSetup site;
    private final PoolPolicies policies;
    private final SplittableRandom random;
    private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(this.nowMs);
    private final ResultCapacityTracker ledger = new ResultCapacityTracker(clock);
    private final CallTimeEstimator times = new CallTimeEstimator();
    private final PoolLoad load = new PoolLoad(clock);
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
    private final List<PieceGroup> waiting = new ArrayList<>();
    private final Map<PieceGroup, PendingRequest> works = new HashMap<>();
    private final Map<SimulatedEndpoint, Long> busyUntilMs = new HashMap<>();
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private long nowMs;
    private long offerAtMs = -1;
    private double wastedMs;

    /** A kind of request that needs the pool. */
    record RequestKind(
            String name, int rank, double perSecond, int mostPieces, long resultBytes, long targetMs, double worth) {}

    /** An endpoint; a silent one loses the calls that reach it while it is silent, after a time. */
    record SimulatedEndpoint(String id, String failureDomain, double slowness, long silentFromMs, long silentUntilMs) {
        static SimulatedEndpoint sound(String id, String failureDomain) {
            return new SimulatedEndpoint(id, failureDomain, 1, Long.MAX_VALUE, Long.MAX_VALUE);
        }

        SimulatedEndpoint slow(double times) {
            return new SimulatedEndpoint(id, failureDomain, times, silentFromMs, silentUntilMs);
        }

        SimulatedEndpoint silent(long fromMs, long untilMs) {
            return new SimulatedEndpoint(id, failureDomain, slowness, fromMs, untilMs);
        }
    }

    /** A time in which a kind's arrivals are multiplied. */
    record Burst(String kind, double times, long fromMs, long untilMs) {}

    /** What a load is played on. */
    record PoolSetup(
            PoolSpec spec,
            List<SimulatedEndpoint> makers,
            List<RequestKind> kinds,
            List<Burst> bursts,
            double formerResultsPart,
            long lengthMs,
            long readerMs) {}

    /** What became of the requests of a kind. */
    static final class Outcome {
        private int asked;
        private int inTime;
        private int late;
        private int refused;
        private int ended;
        private int largestAsked;
        private int largestInTime;

        /** Returns the requests with the most pieces that their kind has. */
        int largestAsked() {
            return largestAsked;
        }

        int largestInTime() {
            return largestInTime;
        }

        int asked() {
            return asked;
        }

        int inTime() {
            return inTime;
        }

        int late() {
            return late;
        }

        int refused() {
            return refused;
        }

        /** Returns those that waited until their time was over. */
        int ended() {
            return ended;
        }

        @Override
        public String toString() {
            return inTime + " of " + asked + " in time, " + late + " late, " + refused + " refused, " + ended
                    + " ended";
        }
    }

    /** The outcome of a replay. */
    record Result(Map<String, Outcome> kinds, double worth, double thrownAwayMs) {}

    private record Event(long atMs, Runnable action) {}

    /** A request that waits for its pieces. */
    private static final class PendingRequest {
        private final RequestKind kind;
        private final long arrivedMs;
        private final boolean largest;
        private int left;
        private double spentMs;
        private boolean over;

        PendingRequest(RequestKind kind, long arrivedMs, int pieces) {
            this.kind = kind;
            this.arrivedMs = arrivedMs;
            this.largest = pieces == kind.mostPieces();
            this.left = pieces;
        }
    }

    PoolSimulation(PoolSetup site, PoolPolicies policies, long seed) {
        this.site = site;
        this.policies = policies;
        this.random = new SplittableRandom(seed);
    }

    Result play() {
        site.kinds().forEach(kind -> outcomes.put(kind.name(), new Outcome()));
        site.kinds().forEach(kind -> planArrival(kind, 0));
        for (SimulatedEndpoint maker : site.makers()) {
            busyUntilMs.put(maker, 0L);
            double free = site.spec().resultCapacityBytes() * (1 - site.formerResultsPart());
            ledger.recordInitialFreeBytes(maker.id(), site.spec(), free);
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        double owed = site.kinds().stream()
                .mapToDouble(kind -> kind.worth() * outcomes.get(kind.name()).asked())
                .sum();
        double earned = site.kinds().stream().mapToDouble(this::earned).sum();
        return new Result(outcomes, earned / owed, wastedMs);
    }

    /** A late answer is worth about a seventh of one in time. */
    private double earned(RequestKind kind) {
        Outcome outcome = outcomes.get(kind.name());
        return kind.worth() * (outcome.inTime + 0.15 * outcome.late);
    }

    private void at(long atMs, Runnable action) {
        events.add(new Event(atMs, action));
    }

    private void planArrival(RequestKind kind, long afterMs) {
        double times = site.bursts().stream()
                .filter(burst ->
                        burst.kind().equals(kind.name()) && burst.fromMs() <= afterMs && afterMs < burst.untilMs())
                .mapToDouble(Burst::times)
                .findFirst()
                .orElse(1);
        double gapMs = -Math.log(1 - random.nextDouble()) * 1000 / (kind.perSecond() * times);
        long atMs = afterMs + Math.max(1, Math.round(gapMs));
        if (atMs < site.lengthMs()) {
            at(atMs, () -> {
                arrive(kind);
                planArrival(kind, nowMs);
            });
        }
    }

    private void arrive(RequestKind kind) {
        int pieces = 1 + random.nextInt(kind.mostPieces());
        outcomes.get(kind.name()).asked++;
        PendingRequest work = new PendingRequest(kind, nowMs, pieces);
        outcomes.get(kind.name()).largestAsked += work.largest ? 1 : 0;
        Urgency urgency = new Urgency(
                kind.rank(), nowMs + kind.targetMs() - site.readerMs(), nowMs + Math.round(1.5 * kind.targetMs()));
        List<PieceTask> tickets = new ArrayList<>();
        for (int i = 0; i < pieces; i++) {
            tickets.add(new PieceTask(
                    new Piece(kind.name() + nowMs, 0, i, "key", List.of(), "key"),
                    urgency,
                    new PieceTask.Placement("", kind.resultBytes(), 0),
                    (ticket, made) -> {}));
        }
        PieceGroup group = new PieceGroup(
                tickets,
                nowMs,
                times.callMs(site.spec(), Math.min(pieces, site.spec().maxBatchSize())),
                false);
        works.put(group, work);
        waiting.add(group);
        load.recordArrival(times.slotTimeMs(site.spec(), pieces));
        offer();
    }

    private void offer() {
        List<PieceGroup> ended = waiting.stream()
                .filter(group -> group.urgency().deadlineAtMs() <= nowMs)
                .toList();
        waiting.removeAll(ended);
        ended.forEach(group -> {
            outcomes.get(works.get(group).kind.name()).ended++;
            giveUp(works.get(group));
        });
        turnAway();
        while (sendOne()) {
            // Until nothing can go.
        }
        if (!waiting.isEmpty() && offerAtMs <= nowMs) {
            offerAtMs = nowMs + OFFER_AGAIN_MS;
            at(offerAtMs, this::offer);
        }
    }

    private void turnAway() {
        if (forecast().slotsFreeAtMs().isEmpty()) {
            return;
        }
        PoolForecast forecast = forecast();
        List<PieceGroup> inOrder = policies.order().sorted(waiting, nowMs);
        AdmissionContext outlook = new AdmissionContext(
                forecast,
                this::roomAtMs,
                load.relativeTo(forecast.slotsFreeAtMs().size()));
        for (PoolAdmission.RejectedGroup away : policies.admission().rejected(inOrder, outlook, nowMs)) {
            waiting.remove(away.group());
            outcomes.get(works.get(away.group()).kind.name()).refused++;
            giveUp(works.get(away.group()));
        }
    }

    private PoolForecast forecast() {
        List<Long> freeAtMs = site.makers().stream()
                .filter(this::usable)
                .map(maker -> Math.max(nowMs, busyUntilMs.get(maker)))
                .toList();
        return new PoolForecast(freeAtMs, site.spec().maxBatchSize(), pieces -> times.callMs(site.spec(), pieces));
    }

    private long roomAtMs(PieceGroup group) {
        return site.makers().stream()
                .mapToLong(maker -> ledger.capacityAtMs(
                        maker.id(), site.spec().resultCapacityBytes(), group.neededBytes(site.spec())))
                .min()
                .orElse(nowMs);
    }

    private void giveUp(PendingRequest work) {
        work.over = true;
        wastedMs += work.spentMs;
    }

    /** A silent endpoint is known as such from the first call that it lost until it answers. */
    private boolean usable(SimulatedEndpoint maker) {
        boolean known = busyUntilMs.get(maker) >= maker.silentFromMs();
        return !(known && nowMs < maker.silentUntilMs() && nowMs >= maker.silentFromMs());
    }

    private boolean sendOne() {
        List<CallPlanner.EndpointCapacity> makers = site.makers().stream()
                .filter(this::usable)
                .map(maker -> new CallPlanner.EndpointCapacity(
                        maker.id(),
                        maker.failureDomain(),
                        busyUntilMs.get(maker) <= nowMs ? 1 : 0,
                        ledger.freeBytes(maker.id(), site.spec().resultCapacityBytes()),
                        random.nextDouble() / 2))
                .toList();
        Optional<CallPlanner.PlannedCall> planned =
                policies.planner().planNext(policies.order().sorted(waiting, nowMs), makers, site.spec(), nowMs);
        planned.ifPresent(this::begin);
        return planned.isPresent();
    }

    private void begin(CallPlanner.PlannedCall planned) {
        SimulatedEndpoint maker = site.makers().stream()
                .filter(one -> one.id().equals(planned.endpoint().endpointId()))
                .findFirst()
                .orElseThrow();
        int pieces = 0;
        for (CallPlanner.Part part : planned.parts()) {
            part.group().take(part.pieces());
            pieces += part.pieces();
            ledger.reserve(
                    maker.id(),
                    part.pieces() * (double) part.group().placement().resultBytes());
        }
        waiting.removeIf(group -> group.size() == 0);
        int carried = pieces;
        long tookMs = Math.round(site.spec().callMs(carried) * maker.slowness() * random.nextDouble(0.95, 1.1));
        long endsAtMs = nowMs + tookMs;
        boolean lost = nowMs < maker.silentUntilMs() && endsAtMs > maker.silentFromMs();
        busyUntilMs.put(maker, endsAtMs);
        at(endsAtMs, () -> {
            if (!lost) {
                times.record(site.spec(), carried, tookMs);
            }
            planned.parts().forEach(part -> ended(maker, part, tookMs / (double) carried, lost));
            offer();
        });
    }

    private void ended(SimulatedEndpoint maker, CallPlanner.Part part, double pieceMs, boolean lost) {
        double bytes = part.pieces() * (double) part.group().placement().resultBytes();
        PendingRequest work = works.get(part.group());
        work.spentMs += part.pieces() * pieceMs;
        if (lost) {
            ledger.release(maker.id(), bytes);
            outcomes.get(work.kind.name()).ended++;
            giveUp(work);
            return;
        }
        if (work.over) {
            wastedMs += part.pieces() * pieceMs;
            ledger.release(maker.id(), bytes);
            return;
        }
        work.left -= part.pieces();
        long readAtMs = nowMs + site.readerMs();
        at(readAtMs, () -> ledger.release(maker.id(), bytes));
        if (work.left == 0) {
            boolean inTime = readAtMs - work.arrivedMs <= work.kind.targetMs();
            Outcome outcome = outcomes.get(work.kind.name());
            if (inTime) {
                outcome.inTime++;
                outcome.largestInTime += work.largest ? 1 : 0;
            } else {
                outcome.late++;
            }
        }
    }
}
