package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.wire.Piece;

/**
 * Simulates the policies of one pool under load, with a model of its endpoints: the duration of calls, the capacity
 * that results take until they are read, and slow or unresponsive endpoints. Time is simulated, so a minute of load
 * takes some ms.
 */
final class PoolSimulation {
    /** Delay before waiting groups are dispatched again, in ms; the same as in the pool itself. */
    private static final long DISPATCH_RETRY_MS = 15;

    private final PoolSetup setup;
    private final PoolPolicies policies;
    private final SplittableRandom random;
    private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(this.nowMs);
    private final ResultCapacityTracker capacity = new ResultCapacityTracker(clock);
    private final CallTimeEstimator times = new CallTimeEstimator();
    private final PoolLoad load = new PoolLoad(clock);
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
    private final List<PieceGroup> waiting = new ArrayList<>();
    private final Map<PieceGroup, PendingRequest> requestsByGroup = new HashMap<>();
    private final Map<SimulatedEndpoint, Long> busyUntilMs = new HashMap<>();
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private final SpeedModel speeds;
    private long nowMs;
    private long nextDispatchAtMs = -1;
    private double wastedMs;

    /** A kind of request that uses the pool. */
    record RequestKind(
            String name, int rank, double perSecond, int maxPieces, long resultBytes, long targetMs, double value) {}

    /** What a pool knows of the speed of its endpoints. */
    enum SpeedModel {
        /** All endpoints count as equally fast. */
        ALIKE,
        /** The slowdown factor of each endpoint is measured. */
        BY_ENDPOINT
    }

    /** A period in which the arrival rate of a kind is multiplied. */
    record Burst(String kind, double factor, long fromMs, long untilMs) {}

    /** The endpoints and the load of a simulation. */
    record PoolSetup(
            PoolSpec spec,
            List<SimulatedEndpoint> endpoints,
            List<RequestKind> kinds,
            List<Burst> bursts,
            double uncountedFraction,
            long lengthMs,
            long readerMs) {}

    /** Counts of the requests of a kind, by outcome. */
    static final class Outcome {
        private int requests;
        private int inTime;
        private int late;
        private int rejected;
        private int expired;
        private int largestRequests;
        private int largestInTime;

        /** Returns the number of requests with the maximum number of pieces of their kind. */
        int largestRequests() {
            return largestRequests;
        }

        int largestInTime() {
            return largestInTime;
        }

        int requests() {
            return requests;
        }

        int inTime() {
            return inTime;
        }

        int late() {
            return late;
        }

        int rejected() {
            return rejected;
        }

        /** Returns the number of requests that waited until their deadline, or whose call was lost. */
        int expired() {
            return expired;
        }

        @Override
        public String toString() {
            return inTime + " of " + requests + " in time, " + late + " late, " + rejected + " refused, " + expired
                    + " ended";
        }
    }

    /** The result of a simulation. */
    record Result(Map<String, Outcome> kinds, double value, double wastedMs) {}

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
            this.largest = pieces == kind.maxPieces();
            this.left = pieces;
        }
    }

    PoolSimulation(PoolSetup setup, PoolPolicies policies, long seed) {
        this(setup, policies, seed, SpeedModel.BY_ENDPOINT);
    }

    PoolSimulation(PoolSetup setup, PoolPolicies policies, long seed, SpeedModel speeds) {
        this.speeds = speeds;
        this.setup = setup;
        this.policies = policies;
        this.random = new SplittableRandom(seed);
    }

    Result run() {
        setup.kinds().forEach(kind -> outcomes.put(kind.name(), new Outcome()));
        setup.kinds().forEach(kind -> scheduleArrival(kind, 0));
        for (SimulatedEndpoint maker : setup.endpoints()) {
            busyUntilMs.put(maker, 0L);
            double free = setup.spec().resultCapacityBytes() * (1 - setup.uncountedFraction());
            capacity.recordInitialFreeBytes(maker.id(), setup.spec(), free);
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        double owed = setup.kinds().stream()
                .mapToDouble(kind -> kind.value() * outcomes.get(kind.name()).requests())
                .sum();
        double earned = setup.kinds().stream().mapToDouble(this::earned).sum();
        return new Result(outcomes, earned / owed, wastedMs);
    }

    /** Returns the value of the served requests; a late response has 0.15 of the value of one in time. */
    private double earned(RequestKind kind) {
        Outcome outcome = outcomes.get(kind.name());
        return kind.value() * (outcome.inTime + 0.15 * outcome.late);
    }

    private void schedule(long atMs, Runnable action) {
        events.add(new Event(atMs, action));
    }

    private void scheduleArrival(RequestKind kind, long afterMs) {
        double times = setup.bursts().stream()
                .filter(burst ->
                        burst.kind().equals(kind.name()) && burst.fromMs() <= afterMs && afterMs < burst.untilMs())
                .mapToDouble(Burst::factor)
                .findFirst()
                .orElse(1);
        double gapMs = -Math.log(1 - random.nextDouble()) * 1000 / (kind.perSecond() * times);
        long atMs = afterMs + Math.max(1, Math.round(gapMs));
        if (atMs < setup.lengthMs()) {
            schedule(atMs, () -> {
                arrive(kind);
                scheduleArrival(kind, nowMs);
            });
        }
    }

    private void arrive(RequestKind kind) {
        int pieces = 1 + random.nextInt(kind.maxPieces());
        outcomes.get(kind.name()).requests++;
        PendingRequest request = new PendingRequest(kind, nowMs, pieces);
        outcomes.get(kind.name()).largestRequests += request.largest ? 1 : 0;
        Urgency urgency = new Urgency(
                kind.rank(), nowMs + kind.targetMs() - setup.readerMs(), nowMs + Math.round(1.5 * kind.targetMs()));
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
                times.callMs(setup.spec(), Math.min(pieces, setup.spec().maxBatchSize())),
                false);
        requestsByGroup.put(group, request);
        waiting.add(group);
        load.recordArrival(times.slotTimeMs(setup.spec(), pieces));
        dispatch();
    }

    private void dispatch() {
        List<PieceGroup> ended = waiting.stream()
                .filter(group -> group.urgency().deadlineAtMs() <= nowMs)
                .toList();
        waiting.removeAll(ended);
        ended.forEach(group -> {
            outcomes.get(requestsByGroup.get(group).kind.name()).expired++;
            abandon(requestsByGroup.get(group));
        });
        reject();
        while (sendNextCall()) {
            // Sends calls until no group can be sent.
        }
        if (!waiting.isEmpty() && nextDispatchAtMs <= nowMs) {
            nextDispatchAtMs = nowMs + DISPATCH_RETRY_MS;
            schedule(nextDispatchAtMs, this::dispatch);
        }
    }

    private void reject() {
        if (forecast().slotsFreeAtMs().isEmpty()) {
            return;
        }
        PoolForecast forecast = forecast();
        List<PieceGroup> inOrder = policies.order().sorted(waiting, nowMs);
        AdmissionContext outlook =
                new AdmissionContext(forecast, this::capacityAtMs, load.relativeTo(forecast.usualSlots()));
        for (PoolAdmission.RejectedGroup away : policies.admission().rejected(inOrder, outlook, nowMs)) {
            waiting.remove(away.group());
            outcomes.get(requestsByGroup.get(away.group()).kind.name()).rejected++;
            abandon(requestsByGroup.get(away.group()));
        }
    }

    private PoolForecast forecast() {
        List<SimulatedEndpoint> usable =
                setup.endpoints().stream().filter(this::usable).toList();
        return new PoolForecast(
                usable.stream().map(this::freeAtMs).toList(),
                setup.spec().maxBatchSize(),
                pieces -> times.callMs(setup.spec(), pieces),
                usable.stream().map(this::slowdown).toList());
    }

    /** Returns when an endpoint is free, as the pool expects it. */
    private long freeAtMs(SimulatedEndpoint maker) {
        return Math.max(nowMs, busyUntilMs.get(maker));
    }

    private double slowdown(SimulatedEndpoint maker) {
        return speeds == SpeedModel.ALIKE ? 1 : times.slowdowns().of(maker.id(), OptionalDouble.empty(), nowMs);
    }

    private CallPlanner.Pace pace(SimulatedEndpoint maker) {
        boolean running = busyUntilMs.get(maker) > nowMs;
        return new CallPlanner.Pace(
                slowdown(maker),
                List.of(freeAtMs(maker)),
                running ? 0 : times.slowdowns().untestedMs(maker.id(), nowMs));
    }

    private long capacityAtMs(PieceGroup group) {
        return setup.endpoints().stream()
                .mapToLong(maker -> capacity.capacityAtMs(
                        maker.id(), setup.spec().resultCapacityBytes(), group.neededBytes(setup.spec())))
                .min()
                .orElse(nowMs);
    }

    private void abandon(PendingRequest request) {
        request.over = true;
        wastedMs += request.spentMs;
    }

    /**
     * Returns whether an endpoint may be called: an unresponsive one is avoided from its first lost call until it
     * responds.
     */
    private boolean usable(SimulatedEndpoint maker) {
        boolean known = busyUntilMs.get(maker) >= maker.unresponsiveFromMs();
        return !(known && nowMs < maker.unresponsiveUntilMs() && nowMs >= maker.unresponsiveFromMs());
    }

    private boolean sendNextCall() {
        List<CallPlanner.EndpointCapacity> makers = setup.endpoints().stream()
                .filter(this::usable)
                .map(maker -> new CallPlanner.EndpointCapacity(
                        maker.id(),
                        maker.failureDomain(),
                        busyUntilMs.get(maker) <= nowMs ? 1 : 0,
                        capacity.freeBytes(maker.id(), setup.spec().resultCapacityBytes()),
                        random.nextDouble() / 2,
                        pace(maker)))
                .toList();
        Optional<CallPlanner.PlannedCall> planned =
                policies.planner().planNext(policies.order().sorted(waiting, nowMs), makers, setup.spec(), nowMs);
        planned.ifPresent(this::begin);
        return planned.isPresent();
    }

    private void begin(CallPlanner.PlannedCall planned) {
        SimulatedEndpoint maker = setup.endpoints().stream()
                .filter(one -> one.id().equals(planned.endpoint().endpointId()))
                .findFirst()
                .orElseThrow();
        int pieces = 0;
        for (CallPlanner.Part part : planned.parts()) {
            part.group().take(part.pieces());
            pieces += part.pieces();
            capacity.reserve(
                    maker.id(),
                    part.pieces() * (double) part.group().placement().resultBytes());
        }
        waiting.removeIf(group -> group.size() == 0);
        int carried = pieces;
        long tookMs = Math.round(maker.durationMs(nowMs, setup.spec().callMs(carried) * random.nextDouble(0.95, 1.1)));
        long endsAtMs = nowMs + tookMs;
        boolean lost = nowMs < maker.unresponsiveUntilMs() && endsAtMs > maker.unresponsiveFromMs();
        busyUntilMs.put(maker, endsAtMs);
        schedule(endsAtMs, () -> {
            if (!lost && speeds == SpeedModel.ALIKE) {
                times.recordCall(setup.spec(), carried, tookMs);
            } else if (!lost) {
                times.recordCall(setup.spec(), carried, tookMs, maker.id(), nowMs);
            }
            planned.parts().forEach(part -> ended(maker, part, tookMs / (double) carried, lost));
            dispatch();
        });
    }

    private void ended(SimulatedEndpoint maker, CallPlanner.Part part, double pieceMs, boolean lost) {
        double bytes = part.pieces() * (double) part.group().placement().resultBytes();
        PendingRequest request = requestsByGroup.get(part.group());
        request.spentMs += part.pieces() * pieceMs;
        if (lost) {
            capacity.release(maker.id(), bytes);
            outcomes.get(request.kind.name()).expired++;
            abandon(request);
            return;
        }
        if (request.over) {
            wastedMs += part.pieces() * pieceMs;
            capacity.release(maker.id(), bytes);
            return;
        }
        request.left -= part.pieces();
        long readAtMs = nowMs + setup.readerMs();
        schedule(readAtMs, () -> capacity.release(maker.id(), bytes));
        if (request.left == 0) {
            boolean inTime = readAtMs - request.arrivedMs <= request.kind.targetMs();
            Outcome outcome = outcomes.get(request.kind.name());
            if (inTime) {
                outcome.inTime++;
                outcome.largestInTime += request.largest ? 1 : 0;
            } else {
                outcome.late++;
            }
        }
    }
}
