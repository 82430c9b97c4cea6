package org.wingstall.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.wingstall.standin.fleet.EndpointLinks;

/**
 * Partitions one box or more of a seed from all endpoints while faults come and go, and heals the cut. At least one box
 * keeps its links.
 *
 * <p>{@code new LinkCutter(7, fleet, observations).play(end)} returns when the cut is healed.
 *
 * @since 0.15
 */
final class LinkCutter {
    /** Longest time until the cut begins, in ms. */
    private static final int MAX_BEGIN_MS = 2000;

    /** Time for which it lasts beyond the time from which first tries are checked, in ms. */
    private static final long CHECKED_MS = 3500;

    private final Random random;
    private final SoakFleet fleet;
    private final Observations observations;

    LinkCutter(long seed, SoakFleet fleet, Observations observations) {
        this.random = new Random(seed);
        this.fleet = fleet;
        this.observations = observations;
    }

    void play(RunEnd end) throws InterruptedException, IOException {
        end.within(random.nextInt(MAX_BEGIN_MS));
        EndpointLinks.Cut how = EndpointLinks.Cut.values()[random.nextInt(EndpointLinks.Cut.values().length)];
        List<SoakFleet.Box> boxes = new ArrayList<>(fleet.boxes());
        Collections.shuffle(boxes, random);
        List<SoakFleet.Box> cut = boxes.subList(0, 1 + random.nextInt(boxes.size() - 1));
        long fromMs = observations.nowMs();
        for (SoakFleet.Box box : cut) {
            box.links().cut(how);
        }
        end.within(LinkCutPromise.SERVED_AGAIN_MS + CHECKED_MS);
        observations.linksCut(new LinkCut(
                cut.stream().map(SoakFleet.Box::id).collect(Collectors.toSet()), fromMs, observations.nowMs()));
        for (SoakFleet.Box box : cut) {
            box.links().heal();
        }
    }
}
