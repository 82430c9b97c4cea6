package org.wingstall.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.wingstall.net.BindException;
import org.wingstall.soak.CallRecord.Route;

/**
 * Plays one seed: starts the fleet, lets callers send while faults come and go, and checks the promises.
 *
 * <p>{@code List<Violation> broken = new SoakRun(options).play();}
 *
 * @since 0.3
 */
public final class SoakRun {
    /** Longest time for a fleet to serve every route after its start or after the last fault, in ms. */
    private static final long RECOVERY_MS = 12_000;

    /** Time after the last fault for which the request that crashes endpoints is repeated, in ms: some of it counts as calm. */
    private static final long CALM_MS = 7000;

    /** Pause between two looks, in ms. */
    private static final long LOOK_MS = 100;

    /** Never comes: what waits for it waits its time. */
    private static final RunEnd PAUSE = new RunEnd();

    private final SoakOptions options;
    private final Observations observations = new Observations();
    private final RunEnd end = new RunEnd();
    private int probes;
    private String disturbed = "";

    /** Creates a run. */
    public SoakRun(SoakOptions options) {
        this.options = options;
    }

    /**
     * Plays the seed.
     *
     * @return what did not hold
     * @throws IOException if processes or files can't be had
     * @throws BindException if ports can't be had
     * @throws FaultFailedException if a fault could not be brought about
     */
    public List<Violation> play() throws IOException, BindException, FaultFailedException, InterruptedException {
        List<Violation> broken = new ArrayList<>();
        try (Standstills standstills = Standstills.watch(observations::nowMs)) {
            play(broken);
            disturbed = "faults: " + observations.disturbances() + "; standstills of the soak's own process: "
                    + standstills.all();
        }
        return broken;
    }

    private void play(List<Violation> broken)
            throws IOException, BindException, FaultFailedException, InterruptedException {
        try (SoakFleet fleet = new SoakFleet(options, observations)) {
            fleet.start();
            Caller probe = new Caller("probe", options.seed(), fleet, observations, end);
            awaitServing(fleet, probe).forEach(detail -> broken.add(new Violation("start", detail)));
            CrashingCaller crashing = new CrashingCaller(options.seed(), fleet, observations, end);
            playFaults(fleet, crashing);
            fleet.heal();
            ConnectionFlood flood = ConnectionFlood.start(fleet, options.seed());
            awaitServing(fleet, probe).forEach(detail -> broken.add(new Violation("recovery", detail)));
            awaitServing(List.of(flood.slowBox()), probe).forEach(detail -> broken.add(new Violation("start", detail)));
            CompletableFuture<Optional<Violation>> flooded = CompletableFuture.supplyAsync(flood::play);
            playCalm(fleet, crashing);
            flooded.join().ifPresent(broken::add);
            new SilentConnections(options.seed(), fleet, observations).play();
            noteEnds(fleet);
            fleet.endpoints().forEach(endpoint -> endpoint.worker()
                    .wrongInputs()
                    .forEach(detail -> broken.add(new Violation("own inputs", detail))));
        }
        for (Promise promise : Promises.all(options.slackMs())) {
            promise.broken(observations).forEach(detail -> broken.add(new Violation(promise.name(), detail)));
        }
    }

    /** Goes on with requests that crash endpoints while no fault excuses anything. */
    private void playCalm(SoakFleet fleet, CrashingCaller crashing) throws InterruptedException {
        RunEnd calmEnd = new RunEnd();
        Thread prompts = new Thread(new PromptCaller("calm-prompt", options.seed(), fleet, observations, calmEnd));
        prompts.start();
        crashing.repeatFor(CALM_MS);
        calmEnd.come();
        prompts.join();
    }

    /** Returns the faults with their times, and when the soak's own process stood still; printed with each breach. */
    public String disturbed() {
        return disturbed;
    }

    /** Returns what the callers saw, in short. */
    public String summary() {
        long answered =
                observations.calls().stream().filter(CallRecord::success).count();
        long refused = observations.calls().stream()
                .filter(CallRecord::refusedAsNotRun)
                .count();
        long cut = observations.calls().stream().filter(CallRecord::broken).count();
        return observations.calls().size() + " requests: " + answered + " answered, " + refused + " refused, " + cut
                + " connections ended; faults: "
                + observations.disturbances().stream()
                        .map(Disturbance::kind)
                        .sorted()
                        .toList();
    }

    private void playFaults(SoakFleet fleet, CrashingCaller crashing)
            throws InterruptedException, FaultFailedException {
        ExecutorService threads = Executors.newCachedThreadPool();
        for (int i = 0; i < options.callers(); i++) {
            threads.submit(new Caller("caller-" + i, options.seed() + i, fleet, observations, end));
        }
        threads.submit(crashing);
        threads.submit(new PromptCaller("prompt", options.seed(), fleet, observations, end));
        threads.submit(new ResumingCaller("resuming", options.seed(), fleet, observations, end));
        FaultInjector injector = new FaultInjector(fleet, observations, end);
        List<Future<?>> faults = new ArrayList<>();
        long beginMs = observations.nowMs();
        for (FaultPlan.Planned planned :
                FaultPlan.of(options.seed(), options.faultsMs()).faults()) {
            faults.add(threads.submit(() -> {
                end.within(Math.max(0, beginMs + planned.atMs() - observations.nowMs()));
                injector.play(planned);
                return null;
            }));
        }
        for (Actor actor : actors(fleet, injector)) {
            faults.add(threads.submit(() -> {
                actor.play(end);
                return null;
            }));
        }
        awaitAll(faults);
        end.come();
        threads.shutdown();
        threads.awaitTermination(RECOVERY_MS * 2, TimeUnit.MILLISECONDS);
    }

    /** Brings about one kind of trouble beside the planned faults, until it is over or the run ends. */
    private interface Actor {
        void play(RunEnd runEnd) throws Exception;
    }

    private List<Actor> actors(SoakFleet fleet, FaultInjector injector) {
        long seed = options.seed();
        return List.of(
                new EvacuatingOperator(seed, fleet, observations)::play,
                new ColdReturns(seed, fleet, observations)::play,
                new ColdAgain(seed, fleet, observations)::play,
                new EndpointInNeed(seed, fleet)::play,
                new StatingEndpoint(seed, fleet, observations)::play,
                new RestoredStore(seed, fleet, observations)::play,
                new LinkCutter(seed, fleet, observations)::play,
                new BrittleService(seed, fleet, observations)::play,
                new BreakingEngines(seed, fleet, observations)::play,
                new RepeatingEndpoints(seed, fleet)::play,
                new PausedCoordinator(seed, fleet, observations, injector)::play);
    }

    private static void awaitAll(List<Future<?>> faults) throws InterruptedException, FaultFailedException {
        for (Future<?> fault : faults) {
            try {
                fault.get();
            } catch (ExecutionException e) {
                throw new FaultFailedException(e.getCause());
            }
        }
    }

    /** Waits until every box serves every route; returns those that it did not serve within the time. */
    private List<String> awaitServing(SoakFleet fleet, Caller probe) throws InterruptedException {
        return awaitServing(fleet.boxes(), probe);
    }

    private List<String> awaitServing(List<SoakFleet.Box> boxes, Caller probe) throws InterruptedException {
        long untilMs = observations.nowMs() + RECOVERY_MS + options.slackMs();
        List<String> missing = new ArrayList<>();
        for (SoakFleet.Box box : boxes) {
            for (Route route : Route.values()) {
                awaitServing(box, route, probe, untilMs)
                        .ifPresent(last -> missing.add(box.id() + " does not serve " + route.path() + ": " + last));
            }
        }
        return missing;
    }

    /** Waits until a box serves a route; returns the last call if it did not within the time. */
    private Optional<CallRecord> awaitServing(SoakFleet.Box box, Route route, Caller probe, long untilMs)
            throws InterruptedException {
        while (true) {
            String id = "probe." + probes++;
            probe.call(box, route, id);
            CallRecord last = observations.calls().stream()
                    .filter(call -> call.id().equals(id))
                    .findFirst()
                    .orElseThrow();
            if (last.success()) {
                return Optional.empty();
            }
            if (observations.nowMs() > untilMs) {
                return Optional.of(last);
            }
            PAUSE.within(LOOK_MS);
        }
    }

    private void noteEnds(SoakFleet fleet) {
        fleet.boxes().stream()
                .filter(box -> box.process().endedByItself())
                .forEach(box -> observations.endedByItself(box.id()));
    }
}
