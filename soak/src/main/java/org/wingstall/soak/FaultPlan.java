package org.wingstall.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults and the planned work of a seed: what, when, for how long, and a number that picks the target.
 *
 * <p>{@code FaultPlan.of(7, 12_000).faults()}
 *
 * @param faults in the order of their begins
 * @since 0.3
 */
record FaultPlan(List<Planned> faults) {
    private static final int LEAST_FAULTS = 6;
    private static final int MORE_FAULTS = 6;
    private static final long LEAST_MS = 300;
    private static final long MOST_MS = 3000;

    /** Kinds of faults and planned work. */
    enum Kind {
        BOX_TERMINATE,
        BOX_KILL,
        BOX_PAUSE,
        BOX_RELOAD,
        STORE_WAY_CUT,
        STORE_WAY_SILENT,
        STORE_WAY_SLOW,
        STORE_WAY_ONE_WAY,
        STORE_BUSY,
        STORE_SILENT,
        STORE_RESET,
        STORE_FORGETS,
        ENDPOINT_WAY_CUT,
        ENDPOINT_WAY_SILENT,
        ENDPOINT_WAY_SLOW,
        ENDPOINT_WAY_ONE_WAY,
        ENDPOINT_ANSWERS_LOST,
        ENDPOINT_FAULTY,
        SERVICE_FAILS,
        ENDPOINT_LEAVES,
        ENDPOINT_VANISHES,
        CONFIG_CHANGE
    }

    /**
     * A fault to come.
     *
     * @param kind what is done
     * @param atMs when, from the begin of the faults on
     * @param forMs how long
     * @param pick number that picks target and variant
     */
    record Planned(Kind kind, long atMs, long forMs, int pick) {}

    /** Returns the plan of a seed, with faults that begin within some time. */
    static FaultPlan of(long seed, long withinMs) {
        SplittableRandom random = new SplittableRandom(seed);
        int count = LEAST_FAULTS + random.nextInt(MORE_FAULTS);
        List<Planned> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            long forMs = random.nextLong(LEAST_MS, MOST_MS);
            faults.add(new Planned(kind, random.nextLong(withinMs), forMs, random.nextInt(Integer.MAX_VALUE)));
        }
        faults.sort(Comparator.comparingLong(Planned::atMs));
        return new FaultPlan(List.copyOf(faults));
    }
}
