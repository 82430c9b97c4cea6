package org.wingstall.it.harness;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Spreads out tries; no test takes a pause as proof of anything. */
public final class Pauses {
    private Pauses() {}

    public static void backOff(int attempt) {
        if (attempt > 0) {
            ofMs(20 + ThreadLocalRandom.current().nextInt(20 * attempt));
        }
    }

    public static void ofMs(long ms) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
    }
}
