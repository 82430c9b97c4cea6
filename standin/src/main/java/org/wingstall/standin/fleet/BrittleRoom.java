package org.wingstall.standin.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The room for requests at a brittle endpoint, which fails when it rejects too many within a second.
 *
 * <p>{@code worker.turnBrittle(new BrittleRoom(2, 100, 4)); ... room.failures()}
 *
 * @since 0.15
 */
public final class BrittleRoom {
    private static final long WINDOW_NS = 1_000_000_000L;

    private final int places;
    private final long workMs;
    private final int maxRejectionsPerSecond;
    private final Deque<Long> rejectedAtNs = new ArrayDeque<>();
    private int taken;
    private int failures;

    /**
     * Creates free room.
     *
     * @param places requests that run or wait at once
     * @param workMs time that each takes, in ms
     * @param maxRejectionsPerSecond rejections within a second that the endpoint bears
     */
    public BrittleRoom(int places, long workMs, int maxRejectionsPerSecond) {
        this.places = places;
        this.workMs = workMs;
        this.maxRejectionsPerSecond = maxRejectionsPerSecond;
    }

    int maxRejectionsPerSecond() {
        return maxRejectionsPerSecond;
    }

    long workMs() {
        return workMs;
    }

    /** Takes a place for a request; returns false, and counts a rejection, if there is none. */
    synchronized boolean take() {
        if (taken < places) {
            taken++;
            return true;
        }
        long nowNs = System.nanoTime();
        rejectedAtNs.addLast(nowNs);
        while (nowNs - rejectedAtNs.peekFirst() > WINDOW_NS) {
            rejectedAtNs.removeFirst();
        }
        if (rejectedAtNs.size() > maxRejectionsPerSecond) {
            failures++;
            rejectedAtNs.clear();
        }
        return false;
    }

    synchronized void release() {
        taken--;
    }

    /** Returns how often the endpoint has failed. */
    public synchronized int failures() {
        return failures;
    }
}
