package org.wingstall.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The decision which new connections are read, replayed in a loop whose turns take a given time. */
public class NewConnectionQueueTest {
    /** Longest wait of a connection that is read while the box is overloaded, in ms. */
    private static final long LONGEST_WAIT_MS = 150;

    /** Time after which the queue has to be short, in ms: less than callers wait for an unread request. */
    private static final long SETTLED_MS = 500;

    private static final long PLAYED_MS = 10_000;

    /** What became of the connections of a replay. */
    private record Replay(List<Long> waitsMs, int closed, int left) {
        int read() {
            return waitsMs.size();
        }

        long longestWaitMs() {
            return waitsMs.stream().mapToLong(Long::longValue).max().orElse(0);
        }
    }

    /** Decides on connections, which are the times of their arrival in ms. */
    private interface Way {
        boolean offer(long arrivedMs, long nowMs);

        Optional<Long> next(long nowMs, List<Long> closed);
    }

    private static Way shedding() {
        NewConnectionQueue<Long> queue = new NewConnectionQueue<>();
        return new Way() {
            @Override
            public boolean offer(long arrivedMs, long nowMs) {
                return queue.offer(arrivedMs, TimeUnit.MILLISECONDS.toNanos(nowMs));
            }

            @Override
            public Optional<Long> next(long nowMs, List<Long> closed) {
                return queue.next(TimeUnit.MILLISECONDS.toNanos(nowMs), closed::add)
                        .map(NewConnectionQueue.Waiting::connection);
            }
        };
    }

    /** A queue that drops what comes when it is full, as the one of the system. */
    private static Way bounded(int length) {
        ArrayDeque<Long> queue = new ArrayDeque<>();
        return new Way() {
            @Override
            public boolean offer(long arrivedMs, long nowMs) {
                return queue.size() < length && queue.add(arrivedMs);
            }

            @Override
            public Optional<Long> next(long nowMs, List<Long> closed) {
                return Optional.ofNullable(queue.poll());
            }
        };
    }

    /** Plays a loop that takes what has arrived, reads one connection and works for the time of a turn. */
    private static Replay play(Way way, double perMs, long turnMs, long runMs, long pauseMs) {
        List<Long> waits = new ArrayList<>();
        List<Long> closed = new ArrayList<>();
        int arrived = 0;
        long nowMs = 0;
        while (nowMs < PLAYED_MS) {
            while (arrived / perMs <= nowMs) {
                long atMs = (long) (arrived++ / perMs);
                if (!way.offer(atMs, nowMs)) {
                    closed.add(atMs);
                }
            }
            Optional<Long> next = way.next(nowMs, closed);
            if (next.isPresent() && next.get() >= SETTLED_MS) {
                waits.add(nowMs - next.get());
            }
            nowMs += next.isPresent() ? turnMs : 1;
            if (pauseMs > 0 && nowMs % (runMs + pauseMs) >= runMs) {
                nowMs += runMs + pauseMs - nowMs % (runMs + pauseMs);
            }
        }
        return new Replay(waits, closed.size(), arrived);
    }

    /** Connections a ms, time of a turn, and for how long the process runs and pauses. */
    @DataProvider
    Object[][] loadsWithinCapacity() {
        return new Object[][] {
            {0.01, 5, 0, 0},
            {0.09, 10, 0, 0},
            {0.9, 1, 0, 0},
            {0.03, 20, 0, 0},
            {0.05, 5, 36, 64},
            {0.15, 2, 36, 64},
            {0.01, 5, 900, 100},
            {0.05, 5, 1500, 150},
        };
    }

    @Test(dataProvider = "loadsWithinCapacity")
    public void aBoxThatKeepsUpClosesNothing(double perMs, long turnMs, long runMs, long pauseMs) {
        assertEquals(play(shedding(), perMs, turnMs, runMs, pauseMs).closed(), 0);
    }

    /** Connections a ms and time of a turn. */
    @DataProvider
    Object[][] floods() {
        return new Object[][] {{0.6, 5}, {0.13, 10}, {2.0, 6}, {0.6, 60}, {0.2, 150}, {5.0, 2}};
    }

    @Test(dataProvider = "floods")
    public void connectionsThatAreReadInAFloodHaveWaitedBriefly(double perMs, long turnMs) {
        Replay replay = play(shedding(), perMs, turnMs, 0, 0);
        assertTrue(replay.longestWaitMs() <= Math.max(LONGEST_WAIT_MS, turnMs + 1), replay.longestWaitMs() + " ms");
        long capacity = (PLAYED_MS - SETTLED_MS) / turnMs;
        assertTrue(replay.read() >= 0.9 * capacity, replay.read() + " of " + capacity);
    }

    /** The way before: none of those that come later is read at all, or they wait for seconds. */
    @Test(dataProvider = "floods")
    public void theQueueOfTheSystemReadsThemTooLate(double perMs, long turnMs) {
        Replay replay = play(bounded(1024), perMs, turnMs, 0, 0);
        assertTrue(replay.read() == 0 || replay.longestWaitMs() > 1000, replay.longestWaitMs() + " ms");
    }

    @Test
    public void connectionsAreReadAgainAfterAFlood() {
        NewConnectionQueue<Long> queue = new NewConnectionQueue<>();
        List<Long> closed = new ArrayList<>();
        LongStream.range(0, 2000).forEach(ms -> step(queue, ms, ms % 6 == 0, closed));
        assertTrue(queue.overloaded());
        long untilMs = 2000 + 2 * NewConnectionQueue.INTERVAL_MS;
        for (long ms = 2000; ms < untilMs; ms++) {
            queue.next(TimeUnit.MILLISECONDS.toNanos(ms), closed::add);
        }
        closed.clear();
        assertTrue(queue.offer(0L, TimeUnit.MILLISECONDS.toNanos(untilMs)));
        assertEquals(queue.overloaded(), false);
        assertTrue(queue.offer(0L, TimeUnit.MILLISECONDS.toNanos(untilMs)));
        assertEquals(closed, List.of());
    }

    /** An overload ended while the loop was late, and hundreds of connections were let in at once. */
    @Test
    public void aLateLoopDoesNotEndAnOverload() {
        NewConnectionQueue<Long> queue = new NewConnectionQueue<>();
        List<Long> closed = new ArrayList<>();
        long turnMs = 6;
        LongStream.range(0, 2000).forEach(ms -> step(queue, ms, ms % turnMs == 0, closed));
        long nowMs = 2000;
        while (queue.next(TimeUnit.MILLISECONDS.toNanos(nowMs), closed::add).isPresent()) {
            nowMs += turnMs;
        }
        long lateNs = TimeUnit.MILLISECONDS.toNanos(nowMs + 5 * NewConnectionQueue.INTERVAL_MS);
        long taken = LongStream.range(0, 300)
                .filter(connection -> queue.offer(connection, lateNs))
                .count();
        assertTrue(queue.overloaded());
        assertTrue(taken <= NewConnectionQueue.TARGET_MS / turnMs + 1, taken + " of 300 were taken");
    }

    private static void step(NewConnectionQueue<Long> queue, long ms, boolean turn, List<Long> closed) {
        long nowNs = TimeUnit.MILLISECONDS.toNanos(ms);
        if (!queue.offer(ms, nowNs)) {
            closed.add(ms);
        }
        if (turn) {
            queue.next(nowNs, closed::add);
        }
    }
}
