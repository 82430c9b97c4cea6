package org.wingstall.soak;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.wingstall.net.BindException;
import org.wingstall.standin.fleet.NewConnectionCallers;
import org.wingstall.standin.fleet.NewConnectionCallers.Call;
import org.wingstall.standin.fleet.NewConnectionCallers.Counts;
import org.wingstall.standin.fleet.NewConnectionCallers.Plan;

/**
 * Hands most new connections of a seed to one slow box after the last fault, and checks that the first tries which it reads
 * are served about as often as before.
 *
 * <p>{@code ConnectionFlood flood = ConnectionFlood.start(fleet, seed); ... flood.play()}
 *
 * @since 0.18
 */
final class ConnectionFlood {
    /** Time that a caller waits, in ms; that of the shortest requests of the platform's sheets. */
    private static final long DEADLINE_MS = 1500;

    private static final int USUAL_PER_SECOND = 10;
    private static final long USUAL_FOR_MS = 3000;
    private static final int FLOOD_PER_SECOND = 1000;

    /** Time after the begin of a flood from which first tries count, in ms; the platform's own figure. */
    private static final long CONTACT_MS = 3000;

    private static final long COUNTED_MS = 2000;

    /** Least share of the first tries that are read and served, relative to the time before; the platform's own figure. */
    private static final double SERVED_SHARE = 0.75;

    private final SoakFleet.Box slow;
    private final SoakFleet.Box other;

    private ConnectionFlood(SoakFleet.Box slow, SoakFleet.Box other) {
        this.slow = slow;
        this.other = other;
    }

    /** Starts the slow box; a seed chooses the box of the second tries. */
    static ConnectionFlood start(SoakFleet fleet, long seed) throws BindException, IOException {
        List<SoakFleet.Box> boxes = fleet.boxes();
        return new ConnectionFlood(fleet.startSlowBox(), boxes.get((int) Math.floorMod(seed, boxes.size())));
    }

    SoakFleet.Box slowBox() {
        return slow;
    }

    /** Returns what did not hold. */
    Optional<Violation> play() {
        Plan plan = new Plan(
                slow.callerAddress(), other.callerAddress(), List.of("stream", "once", "repeatable"), DEADLINE_MS);
        try (NewConnectionCallers callers = new NewConnectionCallers("flood")) {
            Counts before = Counts.of(callers.send(plan, USUAL_PER_SECOND, USUAL_FOR_MS));
            List<Call> flood = callers.send(plan, FLOOD_PER_SECOND, CONTACT_MS + COUNTED_MS);
            long countedFromMs = flood.get(0).sentMs() + CONTACT_MS;
            Counts during = Counts.of(flood.stream()
                    .filter(call -> call.sentMs() >= countedFromMs)
                    .toList());
            boolean served = during.servedOfRead() >= SERVED_SHARE * before.servedOfRead();
            String detail = "before " + before + ", during " + during;
            return served ? Optional.empty() : Optional.of(new Violation("most new connections to one box", detail));
        }
    }
}
