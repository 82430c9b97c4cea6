package org.wingstall.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.wingstall.net.BindException;
import org.wingstall.standin.proxy.Faults;

/**
 * Lets open connections fall silent for good when all other faults are over: those of one box, of some or of all to the
 * store, and of all boxes to some endpoints. New connections work. An operator changes the configuration shortly before
 * and after.
 *
 * <p>{@code new SilentConnections(7, fleet, observations).play()} returns when the last change has been in force for a while.
 *
 * @since 0.20
 */
final class SilentConnections {
    /** What the connections of a box suffer. */
    static final String STORE_WAY = "STORE_WAY_SILENT_OPEN";

    /** What it means to a box that only connections of others suffer. */
    static final String ELSEWHERE = "SILENT_OPEN_ELSEWHERE";

    /** What the connections to an endpoint suffer. */
    static final String ENDPOINT_WAY = "ENDPOINT_WAY_SILENT_OPEN";

    /** Shortest time between a change and the silence, in ms: the boxes have read it and wait for the next one. */
    private static final int MIN_BETWEEN_MS = 200;

    /** Longest further time between two steps, in ms. */
    private static final int MAX_FURTHER_MS = 500;

    /** Time after the silence until which callers send, in ms: some seconds beyond the time from which bounds hold. */
    private static final long SENDING_MS = 6500;

    /** Time beyond the deadline of its request for which a caller is waited for, in ms. */
    private static final long BEYOND_DEADLINE_MS = 1000;

    /** Pause between two requests to a box, in ms. */
    private static final long SEND_INTERVAL_MS = 50;

    private static final int CALLERS = 4;

    private final long seed;
    private final Random random;
    private final SoakFleet fleet;
    private final Observations observations;
    private final RunEnd end = new RunEnd();

    SilentConnections(long seed, SoakFleet fleet, Observations observations) {
        this.seed = seed;
        this.random = new Random(seed);
        this.fleet = fleet;
        this.observations = observations;
    }

    void play() throws InterruptedException, BindException {
        List<Thread> senders = startSenders();
        fleet.configureNext();
        end.within(MIN_BETWEEN_MS + random.nextInt(MAX_FURTHER_MS));
        silence();
        end.within(random.nextInt(MAX_FURTHER_MS));
        fleet.configureNext();
        end.within(SENDING_MS);
        end.come();
        awaitEnds(senders);
    }

    /** A stream whose connection fell silent may never end. */
    private void awaitEnds(List<Thread> senders) throws InterruptedException {
        long untilMs = observations.nowMs() + Caller.DEADLINE_MS + BEYOND_DEADLINE_MS;
        for (Thread sender : senders) {
            sender.join(Math.max(1, untilMs - observations.nowMs()));
            sender.interrupt();
        }
    }

    private List<Thread> startSenders() {
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            senders.add(new Thread(new Caller("silence-" + i, seed + i, fleet, observations, end)));
        }
        for (SoakFleet.Box box : fleet.boxes()) {
            senders.add(new Thread(() -> sendVersioned(box)));
        }
        senders.forEach(Thread::start);
        return senders;
    }

    private void sendVersioned(SoakFleet.Box box) {
        Caller caller = new Caller("silence-" + box.id(), seed, fleet, observations, end);
        try {
            for (int i = 0; !end.within(SEND_INTERVAL_MS); i++) {
                caller.call(box, CallRecord.Route.VERSIONED, "silence-" + box.id() + "." + i);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void silence() {
        long atMs = observations.nowMs();
        List<SoakFleet.Box> silenced = some(fleet.boxes());
        silenced.forEach(box -> silence(box.store()));
        for (SoakFleet.Endpoint endpoint : some(fleet.endpoints())) {
            silence(endpoint.route());
            observations.disturbed(new Disturbance(endpoint.id(), ENDPOINT_WAY, false, atMs, observations.nowMs()));
        }
        // For the promises in time, silence counts as a reset of the connections of all boxes.
        for (SoakFleet.Box box : fleet.boxes()) {
            String kind = silenced.contains(box) ? STORE_WAY : ELSEWHERE;
            observations.disturbed(new Disturbance(box.id(), kind, false, atMs, atMs));
        }
    }

    /** What is silent stays so when the fault is taken back. */
    private static void silence(org.wingstall.standin.proxy.Route route) {
        route.set(Faults.NONE.withSilentOpen());
        route.set(Faults.NONE);
    }

    /** Returns one, some or all. */
    private <T> List<T> some(List<T> all) {
        List<T> picked = new ArrayList<>(all);
        Collections.shuffle(picked, random);
        return random.nextBoolean() ? all : picked.subList(0, 1 + random.nextInt(picked.size()));
    }
}
