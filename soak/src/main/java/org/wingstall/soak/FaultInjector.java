package org.wingstall.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import org.wingstall.net.BindException;
import org.wingstall.soak.FaultPlan.Planned;
import org.wingstall.soak.SoakFleet.Box;
import org.wingstall.soak.SoakFleet.Endpoint;
import org.wingstall.standin.fleet.StoreStandin;
import org.wingstall.standin.fleet.WorkerStandin.Behaviour;
import org.wingstall.standin.proxy.Faults;

/**
 * Brings one planned fault about, waits for its end, and notes how long it may have had an effect.
 *
 * <p>{@code injector.play(planned)} returns when the fault is over.
 *
 * @since 0.3
 */
final class FaultInjector {
    /** Pause before a process that has ended is started again, in ms. */
    private static final long RESTART_MS = 300;

    /** Time that a stop may take, in ms; as in the settings. */
    static final long GRACE_MS = 8000;

    /** Time that an endpoint serves on after its entry says that it leaves, in ms; long enough to show work that comes late. */
    private static final long DRAIN_MS = 5000;

    /** Time after which the address of an endpoint that has ended may be used again, in ms. */
    private static final long REUSE_MS = 2000;

    /** Time for which a fault on a way goes on to have effects after its end: connections are opened again, in ms. */
    private static final long AFTER_MS = 2500;

    /** Time after the start of a process until it counts as up, in ms; about ten times that of an idle machine. */
    private static final long START_MS = 4000;

    /** Looks at whether a process has started, and the pause between two, in ms: half a minute in all. */
    private static final int START_LOOKS = 300;

    private static final long START_LOOK_MS = 100;

    private static final List<Behaviour> FAULTY = List.of(
            Behaviour.FULL,
            Behaviour.FAILS,
            Behaviour.CUTS_ANSWER,
            Behaviour.OTHER_ID,
            Behaviour.UNSIGNED,
            Behaviour.CLOSES,
            Behaviour.SILENT);

    private static final List<String> SERVICES = List.of("engine", "plain", "first", "second");

    private final SoakFleet fleet;
    private final Observations observations;
    private final RunEnd end;
    private final Map<String, ReentrantLock> busy = new ConcurrentHashMap<>();

    FaultInjector(SoakFleet fleet, Observations observations, RunEnd end) {
        this.fleet = fleet;
        this.observations = observations;
        this.end = end;
    }

    void play(Planned planned) throws InterruptedException, IOException, BindException {
        switch (planned.kind()) {
            case BOX_TERMINATE, BOX_KILL, BOX_PAUSE, BOX_RELOAD -> playOnBox(planned);
            case STORE_WAY_CUT, STORE_WAY_SILENT, STORE_WAY_SLOW, STORE_WAY_ONE_WAY -> playOnStoreWay(planned);
            case STORE_BUSY -> playOnStore(planned, StoreStandin.Mode.BUSY);
            case STORE_SILENT -> playOnStore(planned, StoreStandin.Mode.SILENT);
            case STORE_RESET -> playOnStore(planned, StoreStandin.Mode.RESET);
            case STORE_FORGETS -> playLostHistory(planned);
            case ENDPOINT_WAY_CUT,
                    ENDPOINT_WAY_SILENT,
                    ENDPOINT_WAY_SLOW,
                    ENDPOINT_WAY_ONE_WAY,
                    ENDPOINT_ANSWERS_LOST -> playOnEndpointWay(planned);
            case ENDPOINT_FAULTY -> playFaultyEndpoint(planned);
            case SERVICE_FAILS -> playFailingService(planned);
            case ENDPOINT_LEAVES, ENDPOINT_VANISHES -> playLeaving(planned);
            case CONFIG_CHANGE -> fleet.configureNext();
        }
    }

    /** Signals to one process come one after the other. */
    private void playOnBox(Planned planned) throws InterruptedException, IOException {
        List<Box> boxes = fleet.boxes();
        Box box = boxes.get(planned.pick() % boxes.size());
        ReentrantLock lock = busy.computeIfAbsent(box.id(), id -> new ReentrantLock());
        lock.lockInterruptibly();
        try {
            long fromMs = observations.nowMs();
            // What is under way counts as open ended, so that checks made meanwhile see it.
            signal(planned, box);
            observations.disturbed(new Disturbance(
                    box.id(),
                    planned.kind().name(),
                    planned.kind() == FaultPlan.Kind.BOX_TERMINATE || planned.kind() == FaultPlan.Kind.BOX_RELOAD,
                    fromMs,
                    observations.nowMs() + AFTER_MS));
        } finally {
            lock.unlock();
        }
    }

    private void signal(Planned planned, Box box) throws InterruptedException, IOException {
        switch (planned.kind()) {
            case BOX_TERMINATE -> {
                box.process().terminate(GRACE_MS);
                startAgain(box);
            }
            case BOX_KILL -> {
                box.process().kill();
                startAgain(box);
            }
            case BOX_PAUSE -> {
                box.process().pause();
                end.within(planned.forMs());
                box.process().resume();
            }
            default -> {
                awaitStarted(box);
                box.process().reload();
            }
        }
    }

    /** The runtime has no handler for the signal in the first moments of a process and would end at it. */
    private void awaitStarted(Box box) throws InterruptedException, IOException {
        for (int i = 0; i < START_LOOKS && !box.process().started(); i++) {
            end.within(START_LOOK_MS);
        }
    }

    private void startAgain(Box box) throws InterruptedException, IOException {
        end.within(RESTART_MS);
        box.process().start();
        end.within(START_MS);
    }

    private void playOnStoreWay(Planned planned) throws InterruptedException {
        List<Box> boxes = fleet.boxes();
        Box box = boxes.get(planned.pick() % boxes.size());
        long fromMs = observations.nowMs();
        box.store().set(faultsOf(planned));
        end.within(planned.forMs());
        box.store().set(Faults.NONE);
        note(box.id(), planned, fromMs);
    }

    private void playOnEndpointWay(Planned planned) throws InterruptedException {
        Endpoint endpoint = pick(planned);
        long fromMs = observations.nowMs();
        endpoint.route().set(faultsOf(planned));
        end.within(planned.forMs());
        endpoint.route().set(Faults.NONE);
        note(endpoint.id(), planned, fromMs);
    }

    private static Faults faultsOf(Planned planned) {
        return switch (planned.kind()) {
            case STORE_WAY_CUT, ENDPOINT_WAY_CUT -> Faults.NONE.withCut();
            case STORE_WAY_SILENT, ENDPOINT_WAY_SILENT -> Faults.NONE.withFreeze();
            case STORE_WAY_ONE_WAY, ENDPOINT_WAY_ONE_WAY -> Faults.NONE.withFreezeAnswers();
            case ENDPOINT_ANSWERS_LOST -> Faults.NONE.withDropAnswers();
            default -> Faults.NONE.withDelayMs(50 + planned.pick() % 300);
        };
    }

    private void playOnStore(Planned planned, StoreStandin.Mode mode) throws InterruptedException {
        long fromMs = observations.nowMs();
        fleet.store().mode(mode);
        end.within(planned.forMs());
        fleet.store().mode(StoreStandin.Mode.SERVING);
        note(Disturbance.STORE, planned, fromMs);
    }

    /** A new version follows, which only who reads the whole can learn of. */
    private void playLostHistory(Planned planned) throws InterruptedException, BindException {
        fleet.store().forgetHistory();
        end.within(planned.forMs());
        fleet.configureNext();
    }

    private void playFaultyEndpoint(Planned planned) throws InterruptedException {
        Endpoint endpoint = pick(planned);
        long fromMs = observations.nowMs();
        endpoint.worker().behave(FAULTY.get(planned.pick() / 7 % FAULTY.size()));
        end.within(planned.forMs());
        endpoint.worker().behave(Behaviour.ANSWERS);
        note(endpoint.id(), planned, fromMs);
    }

    private void playFailingService(Planned planned) throws InterruptedException {
        List<Endpoint> all = fleet.lasting("plain");
        long fromMs = observations.nowMs();
        all.forEach(endpoint -> endpoint.worker().behave(Behaviour.FAILS));
        end.within(planned.forMs());
        all.forEach(endpoint -> endpoint.worker().behave(Behaviour.ANSWERS));
        all.forEach(endpoint -> note(endpoint.id(), planned, fromMs));
    }

    /** An endpoint says that it leaves, or its entry goes; its address goes to an endpoint of another service later. */
    private void playLeaving(Planned planned) throws InterruptedException, BindException {
        String service = SERVICES.get(planned.pick() % SERVICES.size());
        boolean streams = service.equals("engine");
        fleet.add(service, streams ? SoakFleet.EVENTS : 0);
        Endpoint leaving = fleet.lasting(service).get(0);
        fleet.list(leaving, "draining");
        if (planned.kind() == FaultPlan.Kind.ENDPOINT_VANISHES) {
            fleet.unlist(leaving);
        }
        end.within(DRAIN_MS);
        fleet.unlist(leaving);
        end.within(REUSE_MS);
        String other = SERVICES.get((planned.pick() + 1) % SERVICES.size());
        fleet.replace(leaving, other, other.equals("engine") ? SoakFleet.EVENTS : 0);
    }

    private Endpoint pick(Planned planned) {
        String service = SERVICES.get(planned.pick() % SERVICES.size());
        List<Endpoint> all = fleet.lasting(service);
        return all.get(planned.pick() / SERVICES.size() % all.size());
    }

    private void note(String target, Planned planned, long fromMs) {
        observations.disturbed(
                new Disturbance(target, planned.kind().name(), false, fromMs, observations.nowMs() + AFTER_MS));
    }
}
