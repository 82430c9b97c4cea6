package org.wingstall.net;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The new connections that wait to be read, and the decision which of them are closed instead: those that would wait
 * longer than the target once a queue has stood for an interval, as in CoDel. Without such a queue all are read.
 *
 * <p>{@code if (!queue.offer(connection, nowNs)) { close(connection); }}
 *
 * @param <C> type of a connection
 */
final class NewConnectionQueue<C> {
    /** Longest wait that a box which keeps up causes, in ms; callers give an unread request up after a second at most. */
    static final long TARGET_MS = 100;

    /** Time for which the wait has to exceed the target without a break, in ms; a pause of the process is shorter. */
    static final long INTERVAL_MS = 200;

    private static final long TARGET_NS = TimeUnit.MILLISECONDS.toNanos(TARGET_MS);
    private static final long INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS);

    /** Weight of the newest turn in the average time of a turn. */
    private static final double NEWEST_WEIGHT = 0.125;

    private static final long NEVER = Long.MIN_VALUE;

    private final ArrayDeque<Waiting<C>> waiting = new ArrayDeque<>();
    private long lateSinceNs = NEVER;
    private long emptySinceNs = NEVER;
    private long lastTurnNs = NEVER;
    private long lastLookNs = NEVER;
    private double turnNs;
    private volatile boolean overloaded;

    /**
     * A connection that waits.
     *
     * @param connection the connection
     * @param sinceNs when it was offered, in ns
     */
    record Waiting<C>(C connection, long sinceNs) {}

    /** Returns whether connections are closed unread. */
    boolean overloaded() {
        return overloaded;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /**
     * Adds a connection.
     *
     * @return false if it would wait too long and is not added
     */
    boolean offer(C connection, long nowNs) {
        // Since the last look the loop may have been late, and connections may have come all the time.
        endOverloadIfIdle(lastLookNs);
        if (overloaded && waiting.size() >= mostWaiting()) {
            return false;
        }
        waiting.add(new Waiting<>(connection, nowNs));
        emptySinceNs = NEVER;
        return true;
    }

    /** One may always wait, so that the time of a turn stays known. */
    private int mostWaiting() {
        return (int) Math.max(1, TARGET_NS / Math.max(1, turnNs));
    }

    /**
     * Ends the overload when no connection has waited for an interval.
     *
     * @param lookedNs when all connections that had come by then were offered, in ns
     */
    void endOverloadIfIdle(long lookedNs) {
        if (overloaded && emptySinceNs != NEVER && lookedNs - emptySinceNs >= INTERVAL_NS) {
            overloaded = false;
            lateSinceNs = NEVER;
        }
    }

    /**
     * Takes the connection that is read in this turn of the event loop.
     *
     * @param late receives connections that have waited too long, which are to be closed
     * @return the connection; empty when none waits
     */
    Optional<Waiting<C>> next(long nowNs, Consumer<C> late) {
        noteTurn(nowNs);
        lastLookNs = nowNs;
        Waiting<C> first = waiting.poll();
        while (first != null && isLate(nowNs - first.sinceNs(), nowNs)) {
            late.accept(first.connection());
            first = waiting.poll();
        }
        if (waiting.isEmpty()) {
            emptySinceNs = emptySinceNs == NEVER ? nowNs : emptySinceNs;
            lastTurnNs = NEVER;
        }
        return Optional.ofNullable(first);
    }

    private void noteTurn(long nowNs) {
        if (lastTurnNs != NEVER) {
            turnNs += NEWEST_WEIGHT * (nowNs - lastTurnNs - turnNs);
        }
        lastTurnNs = nowNs;
    }

    private boolean isLate(long waitedNs, long nowNs) {
        if (waitedNs < TARGET_NS) {
            lateSinceNs = NEVER;
            return false;
        }
        if (lateSinceNs == NEVER) {
            lateSinceNs = nowNs;
        }
        if (nowNs - lateSinceNs >= INTERVAL_NS) {
            overloaded = true;
        }
        return overloaded;
    }
}
