package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.peer.CorrelationSequence;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.peer.PieceLinks;
import org.wingstall.relay.wire.Piece;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.schema.peer.StagePiece;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/**
 * Tracks the pieces that this box delegated to coordinators. When a coordinator is lost its pieces are submitted again,
 * so a piece may run twice. Confined to the request loop.
 */
final class DelegatedPieces {
    private final WorkLinks links;
    private final MonotonicClock clock;
    private final Resubmitter resubmitter;
    private final PoolWaitTable waits;
    private final Map<Long, Delegation> delegations = new HashMap<>();
    private final CorrelationSequence correlations = new CorrelationSequence();

    /** Submits pieces again whose coordinator was lost. */
    @FunctionalInterface
    interface Resubmitter {
        void resubmit(String service, List<PieceTask> tasks);
    }

    /** Sends work to other boxes. */
    interface WorkLinks {
        /** Sends pieces to a box; returns whether there is a link to it. */
        boolean askFor(String boxId, long correlation, StageWork work);

        /** Tells a box that pieces are not wanted any more. */
        void withdraw(String boxId, long correlation);

        /** Sends work over the links of a mesh. */
        static WorkLinks over(PieceLinks links) {
            return new WorkLinks() {
                @Override
                public boolean askFor(String boxId, long correlation, StageWork work) {
                    return links.askFor(boxId, correlation, work);
                }

                @Override
                public void withdraw(String boxId, long correlation) {
                    links.withdraw(boxId, correlation);
                }
            };
        }
    }

    private static final class Delegation {
        private final String boxId;
        private final String service;
        private final PieceTask[] tasks;
        private int remaining;

        Delegation(String boxId, String service, List<PieceTask> tasks) {
            this.boxId = boxId;
            this.service = service;
            this.tasks = tasks.toArray(new PieceTask[0]);
            this.remaining = tasks.size();
        }

        List<PieceTask> unfinished() {
            List<PieceTask> unfinished = new ArrayList<>();
            for (PieceTask task : tasks) {
                if (task != null && !task.withdrawn()) {
                    unfinished.add(task);
                }
            }
            return unfinished;
        }

        boolean withdrawn() {
            for (PieceTask task : tasks) {
                if (task != null && !task.withdrawn()) {
                    return false;
                }
            }
            return true;
        }
    }

    DelegatedPieces(WorkLinks links, MonotonicClock clock, Resubmitter resubmit, PoolWaitTable waits) {
        this.links = links;
        this.clock = clock;
        this.resubmitter = resubmit;
        this.waits = waits;
    }

    /** Delegates pieces to a coordinator; returns whether there is a link to it. */
    boolean delegate(String boxId, String service, List<PieceTask> tasks) {
        long correlation = correlations.next();
        List<StagePiece> pieces = tasks.stream().map(this::encode).toList();
        if (!links.askFor(boxId, correlation, new StageWork(service, pieces))) {
            return false;
        }
        delegations.put(correlation, new Delegation(boxId, service, tasks));
        return true;
    }

    private StagePiece encode(PieceTask task) {
        Piece piece = task.piece();
        long nowMs = clock.nowMs();
        return new StagePiece(
                piece.requestId(),
                piece.stage(),
                piece.index(),
                piece.key(),
                piece.inputs(),
                task.urgency().rank(),
                Math.max(0, task.urgency().deadlineAtMs() - nowMs),
                Math.max(0, task.urgency().targetAtMs() - nowMs),
                task.placement().resultBytes(),
                task.placement().nearDomain(),
                task.placement().crossDomainBytes(),
                piece.origin(),
                Math.max(0, task.urgency().callerDeadlineAtMs() - nowMs),
                task.urgency().laterWaitMs());
    }

    void resultReceived(String boxId, long correlation, StageResult result) {
        Delegation work = delegations.get(correlation);
        boolean expected = work != null && work.boxId.equals(boxId) && result.getPlace() < work.tasks.length;
        if (!expected || work.tasks[result.getPlace()] == null) {
            return;
        }
        PieceTask task = work.tasks[result.getPlace()];
        if (!madeFor(task, result)) {
            return;
        }
        work.tasks[result.getPlace()] = null;
        work.remaining--;
        if (work.remaining == 0) {
            delegations.remove(correlation);
        }
        waits.record(work.service, task.urgency().rank(), result.getWaitMs());
        task.complete(decode(result, boxId));
    }

    /** Boxes of earlier builds don't name the request. */
    private static boolean madeFor(PieceTask task, StageResult result) {
        return result.getRequestId() == null
                || result.getRequestId().equals(task.piece().requestId());
    }

    private static PieceOutcome decode(StageResult result, String coordinator) {
        if (result.getHandle() == null) {
            return PieceOutcome.failed(
                    PieceResult.Failure.fromName(result.getFailure()),
                    coordinator,
                    new RetryTime(result.getAgainMs(), result.isScheduled()));
        }
        return PieceOutcome.success(
                PieceResult.of(result.getHandle()), Addresses.parse(result.getMaker()), coordinator);
    }

    /** Withdraws delegated work from its coordinators once all of its unfinished pieces are withdrawn. */
    void announceWithdrawn() {
        delegations.entrySet().removeIf(entry -> {
            boolean unwanted = entry.getValue().withdrawn();
            if (unwanted) {
                links.withdraw(entry.getValue().boxId, entry.getKey());
            }
            return unwanted;
        });
    }

    /**
     * Submits the pieces delegated to a coordinator again, because it is lost or unresponsive. Also sends it a
     * withdrawal, so that it drops the work if it is still running.
     */
    void boxLost(String boxId) {
        List<Delegation> lost = new ArrayList<>();
        delegations.entrySet().removeIf(entry -> {
            boolean there = entry.getValue().boxId.equals(boxId) && lost.add(entry.getValue());
            if (there) {
                links.withdraw(boxId, entry.getKey());
            }
            return there;
        });
        for (Delegation work : lost) {
            List<PieceTask> unfinished = work.unfinished();
            if (!unfinished.isEmpty()) {
                resubmitter.resubmit(work.service, unfinished);
            }
        }
    }

    /** Returns the coordinators that have unfinished pieces of this box. */
    List<String> boxes() {
        return delegations.values().stream().map(work -> work.boxId).distinct().toList();
    }
}
