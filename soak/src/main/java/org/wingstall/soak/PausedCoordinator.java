package org.wingstall.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.wingstall.soak.CallRecord.Route;
import org.wingstall.soak.FaultPlan.Kind;
import org.wingstall.soak.FaultPlan.Planned;
import org.wingstall.soak.SoakFleet.Box;

/**
 * Pauses one box of a seed, and kills another one that gets requests with stages before and after: what the paused box still
 * does for the killed process must not reach the one that is started in its place.
 *
 * <p>{@code new PausedCoordinator(7, fleet, observations, injector).play(end)} returns when both are up again.
 *
 * @since 0.19
 */
final class PausedCoordinator {
    /** Longest time until the pause, in ms. */
    private static final long MAX_BEGIN_MS = 1500;

    /** Length of the pause, in ms; the killed box is up again before its end. */
    private static final long PAUSE_MS = 4000;

    /** Time between the begins of the pause and the kill, in ms. */
    private static final long KILL_AFTER_MS = 1000;

    /** Time after the pause in which requests go on, in ms: some calls for pieces. */
    private static final long AFTER_MS = 1500;

    /** Pause between two requests, in ms. */
    private static final long BETWEEN_REQUESTS_MS = 50;

    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final FaultInjector injector;
    private final Caller caller;

    PausedCoordinator(long seed, SoakFleet fleet, Observations observations, FaultInjector injector) {
        this.random = new SplittableRandom(seed * 79);
        this.fleet = fleet;
        this.injector = injector;
        this.caller = new Caller("staged", seed, fleet, observations, new RunEnd());
    }

    void play(RunEnd end) throws InterruptedException, ExecutionException {
        end.within(random.nextLong(MAX_BEGIN_MS));
        int paused = random.nextInt(fleet.boxes().size());
        int killed = (paused + 1) % fleet.boxes().size();
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Future<?>> started = new ArrayList<>();
        started.add(play(threads, new Planned(Kind.BOX_PAUSE, 0, PAUSE_MS, paused)));
        sendRequests(threads, started, fleet.boxes().get(killed), 0, KILL_AFTER_MS);
        started.add(play(threads, new Planned(Kind.BOX_KILL, 0, 0, killed)));
        sendRequests(threads, started, fleet.boxes().get(killed), KILL_AFTER_MS, PAUSE_MS + AFTER_MS);
        threads.shutdown();
        for (Future<?> each : started) {
            each.get();
        }
    }

    private Future<?> play(ExecutorService threads, Planned planned) {
        return threads.submit(() -> {
            injector.play(planned);
            return null;
        });
    }

    /** Sends requests at a fixed rate, whether the earlier ones were answered or not. */
    private void sendRequests(ExecutorService threads, List<Future<?>> started, Box box, long fromMs, long untilMs)
            throws InterruptedException {
        for (long atMs = fromMs; atMs < untilMs; atMs += BETWEEN_REQUESTS_MS) {
            String id = "staged." + atMs;
            started.add(threads.submit(() -> caller.call(box, Route.STAGED, id)));
            TimeUnit.MILLISECONDS.sleep(BETWEEN_REQUESTS_MS);
        }
    }
}
