package org.wingstall.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * Measures how late a thread of the soak's own process wakes, which tells a machine that stood still from a gateway that
 * did.
 *
 * <p>{@code try (Standstills standstills = Standstills.watch(observations::nowMs)) { ... standstills.all(); }}
 *
 * @since 0.7
 */
final class Standstills implements AutoCloseable {
    private static final long SLEEP_MS = 20;

    /** Lateness from which a standstill is recorded, in ms. */
    private static final long LATE_MS = 200;

    private final List<Standstill> standstills = new CopyOnWriteArrayList<>();
    private final LongSupplier clockMs;
    private final Thread thread = new Thread(this::measure, "standstills");
    private volatile boolean closed;

    /** A time in which the thread should have woken and did not, in ms of the soak's clock. */
    record Standstill(long untilMs, long lateMs) {}

    private Standstills(LongSupplier clockMs) {
        this.clockMs = clockMs;
    }

    /** Starts to measure. */
    static Standstills watch(LongSupplier clockMs) {
        Standstills watch = new Standstills(clockMs);
        watch.thread.setDaemon(true);
        watch.thread.start();
        return watch;
    }

    private void measure() {
        while (!closed) {
            long dueMs = clockMs.getAsLong() + SLEEP_MS;
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SLEEP_MS));
            long lateMs = clockMs.getAsLong() - dueMs;
            if (lateMs >= LATE_MS) {
                standstills.add(new Standstill(dueMs + lateMs, lateMs));
            }
        }
    }

    /** Returns all standstills so far, in order. */
    List<Standstill> all() {
        return List.copyOf(standstills);
    }

    @Override
    public void close() {
        closed = true;
    }
}
