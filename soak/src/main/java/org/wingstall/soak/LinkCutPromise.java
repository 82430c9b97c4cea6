package org.wingstall.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Checks that callers of boxes partitioned from all endpoints are served about as often as those of other boxes. */
final class LinkCutPromise implements Promise {
    /** Time after the begin of a cut from which first tries count, in ms; the platform's own figure. */
    static final long SERVED_AGAIN_MS = 3000;

    /** Least share of first tries that is served, relative to other boxes; the platform's own figure. */
    private static final double SERVED_SHARE = 2.0 / 3;

    /** Failures beyond which the share counts: some, and a fraction of the first tries; the platform's own figures. */
    private static final int ALLOWED_FAILURES = 10;

    private static final double ALLOWED_FAILURE_SHARE = 1.0 / 50;

    private final long slackMs;

    LinkCutPromise(long slackMs) {
        this.slackMs = slackMs;
    }

    /** First tries at some boxes. */
    private record Tries(long sent, long served) {
        static Tries of(List<CallRecord> calls, Predicate<CallRecord> counted) {
            List<CallRecord> sent = calls.stream().filter(counted).toList();
            return new Tries(
                    sent.size(), sent.stream().filter(CallRecord::success).count());
        }

        long failed() {
            return sent - served;
        }
    }

    @Override
    public String name() {
        return "boxes without links serve like others";
    }

    @Override
    public List<String> broken(Observations seen) {
        List<String> broken = new ArrayList<>();
        for (LinkCut cut : seen.linkCuts()) {
            List<CallRecord> calls = seen.calls().stream()
                    .filter(call -> call.sentMs() > cut.fromMs() + SERVED_AGAIN_MS + slackMs)
                    .filter(call -> call.endedMs() < cut.untilMs())
                    .filter(call -> seen.inTouch(call.box(), call.sentMs(), call.endedMs()))
                    .toList();
            Tries without = Tries.of(calls, call -> cut.boxes().contains(call.box()));
            Tries others = Tries.of(calls, call -> !cut.boxes().contains(call.box()));
            boolean rarely = without.served() * others.sent() < SERVED_SHARE * others.served() * without.sent();
            if (rarely && without.failed() > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * calls.size()) {
                broken.add(cut + ": " + without + " without links, " + others + " at others");
            }
        }
        return broken;
    }
}
