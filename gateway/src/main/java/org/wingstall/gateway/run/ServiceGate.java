package org.wingstall.gateway.run;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.wingstall.core.queue.WaitEstimator;
import org.wingstall.core.queue.WaitQueue;
import org.wingstall.core.route.Candidate;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.route.RouteRequest;
import org.wingstall.core.route.Router;

/**
 * Grants slots at the endpoints of one service: at once while there are free ones and nobody waits, else in the order of
 * the queue.
 */
final class ServiceGate {
    private final Supplier<List<Candidate>> candidates;
    private final Router router;
    private final String failureDomain;
    private final boolean spillover;
    private final WaitQueue<StageWaiter> queue;
    private final WaitEstimator estimate;
    private volatile int waiting;
    private boolean draining;

    ServiceGate(
            Supplier<List<Candidate>> candidates,
            Router router,
            String failureDomain,
            boolean spillover,
            WaitQueue<StageWaiter> queue,
            WaitEstimator estimate) {
        this.candidates = candidates;
        this.router = router;
        this.failureDomain = failureDomain;
        this.spillover = spillover;
        this.queue = queue;
        this.estimate = estimate;
    }

    /** Grants a slot now or later, or tells the waiter that there is no endpoint. */
    void request(StageWaiter waiter) {
        if (waiting == 0 && serve(waiter)) {
            return;
        }
        synchronized (queue) {
            queue.add(waiter);
            estimate.recordWaiting(waiter.precedence());
            waiting = queue.size();
        }
        drain();
    }

    /** Grants a slot if nobody waits and one is free at once; else returns null. */
    EndpointState grantSpare(StageWaiter waiter) {
        return waiting == 0 ? acquire(usableBy(waiter), waiter) : null;
    }

    /** Takes back a waiter that gave up; returns whether it was still waiting. */
    boolean withdraw(StageWaiter waiter) {
        synchronized (queue) {
            boolean removed = queue.remove(waiter);
            if (removed) {
                estimate.recordAbandoned(waiter.precedence());
            }
            waiting = queue.size();
            return removed;
        }
    }

    /** Serves those who wait, after a slot was given back or an endpoint changed. */
    void drain() {
        if (waiting == 0) {
            return;
        }
        synchronized (queue) {
            if (draining) {
                return;
            }
            draining = true;
            try {
                serveWaiters();
            } finally {
                draining = false;
            }
        }
    }

    /** A stage that gives its slot back at once drains again from within; the loop here sees that slot. */
    private void serveWaiters() {
        List<StageWaiter> unserved = new ArrayList<>();
        while (queue.size() > 0 && anyFreeSlot()) {
            StageWaiter next = queue.poll();
            if (serve(next)) {
                estimate.recordGranted(next.precedence());
            } else {
                unserved.add(next);
            }
        }
        unserved.forEach(queue::add);
        waiting = queue.size();
    }

    /** Returns the time that a new waiter of the precedence would wait, given the time of one call, in ms. */
    double expectedWaitMs(int precedence, double callMs) {
        if (waiting == 0) {
            return 0;
        }
        int slots = Math.max(1, slots());
        synchronized (queue) {
            double bySlotsMs = (queue.countAhead(precedence) + 1) * callMs / slots;
            return estimate.waitMs(precedence, bySlotsMs);
        }
    }

    /** Returns whether an endpoint other than this one serves and is not excluded by the waiter. */
    boolean offersOther(StageWaiter waiter, EndpointState endpoint) {
        for (Candidate candidate : candidates.get()) {
            EndpointState other = candidate.endpoint();
            if (other != endpoint && other.serving() && !waiter.excludes(other)) {
                return true;
            }
        }
        return false;
    }

    int waiting() {
        return waiting;
    }

    private int slots() {
        int slots = 0;
        for (Candidate candidate : candidates.get()) {
            if (candidate.endpoint().serving()) {
                slots += candidate.window();
            }
        }
        return slots;
    }

    private boolean anyFreeSlot() {
        List<Candidate> serving = withoutDoubtful(candidates.get().stream()
                .filter(candidate -> candidate.endpoint().serving())
                .toList());
        return serving.isEmpty() || serving.stream().anyMatch(this::hasRoom);
    }

    /** Returns whether the waiter need not wait any longer. */
    private boolean serve(StageWaiter waiter) {
        List<Candidate> possible = usableBy(waiter);
        if (possible.isEmpty()) {
            waiter.noEndpoint();
            return true;
        }
        EndpointState endpoint = acquire(possible, waiter);
        if (endpoint == null) {
            return false;
        }
        waiter.granted(endpoint);
        return true;
    }

    private List<Candidate> usableBy(StageWaiter waiter) {
        List<Candidate> usable = new ArrayList<>();
        for (Candidate candidate : candidates.get()) {
            if (candidate.endpoint().serving() && !waiter.excludes(candidate.endpoint())) {
                usable.add(candidate);
            }
        }
        return withoutDoubtful(usable);
    }

    /** Leaves out endpoints that may have ended, unless there are no others. */
    private static List<Candidate> withoutDoubtful(List<Candidate> serving) {
        List<Candidate> alive = serving.stream()
                .filter(candidate -> !candidate.endpoint().inDoubt())
                .toList();
        return alive.isEmpty() ? serving : alive;
    }

    private EndpointState acquire(List<Candidate> possible, StageWaiter waiter) {
        RouteRequest request = new RouteRequest(failureDomain, waiter.expectedMs(), waiter.prefixDigests());
        List<Candidate> free = freeOf(possible, true);
        if (free.isEmpty() && (spillover || !hasLocal(possible))) {
            free = freeOf(possible, false);
        }
        while (!free.isEmpty()) {
            EndpointState chosen = router.choose(free, request);
            if (chosen.tryAcquire(windowOf(free, chosen))) {
                return chosen;
            }
            free.removeIf(candidate -> candidate.endpoint() == chosen);
        }
        return null;
    }

    private List<Candidate> freeOf(List<Candidate> possible, boolean local) {
        List<Candidate> free = new ArrayList<>();
        for (Candidate candidate : possible) {
            boolean matches = isLocal(candidate) == local;
            if (matches && hasRoom(candidate)) {
                free.add(candidate);
            }
        }
        return free;
    }

    /**
     * Calls spill over only into room that another failure domain's endpoint says it has: its own boxes may use all of its
     * slots, and calls beyond them would wait at the endpoint, where no order of this gateway holds.
     */
    private boolean hasRoom(Candidate candidate) {
        boolean spare = isLocal(candidate) || candidate.endpoint().estimatedLoad() + 1 <= candidate.slots();
        return spare && candidate.endpoint().inFlight() < candidate.window();
    }

    private boolean hasLocal(List<Candidate> possible) {
        return possible.stream().anyMatch(this::isLocal);
    }

    private boolean isLocal(Candidate candidate) {
        return candidate.endpoint().identity().failureDomain().equals(failureDomain);
    }

    private static int windowOf(List<Candidate> candidates, EndpointState endpoint) {
        for (Candidate candidate : candidates) {
            if (candidate.endpoint() == endpoint) {
                return candidate.window();
            }
        }
        return 0;
    }
}
