package org.wingstall.soak;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashingRun;

/** Checks that prompts which share parts with those that crash endpoints are served once the crashing part is known. */
final class SoundPromptPromise implements Promise {
    /** Fewest requests that count; the platform's own figure. */
    private static final int FEWEST = 20;

    /** Least share that is served, relative to requests of other services; the platform's own figure. */
    private static final double SHARE = 0.5;

    /** Crashes after which the part has to be known, and the time from which requests count; the platform's own figures. */
    private static final int CRASHES = 5;

    private static final long KNOWN_MS = 6000;

    private final long slackMs;

    SoundPromptPromise(long slackMs) {
        this.slackMs = slackMs;
    }

    @Override
    public String name() {
        return "sound prompts beside a crashing part";
    }

    @Override
    public List<String> broken(Observations seen) {
        long fromMs = knownAtMs(seen);
        List<PromptCall> counted = seen.promptCalls().stream()
                .filter(call -> call.sentMs() > fromMs)
                .filter(call -> seen.inTouch(call.box(), call.sentMs(), call.endedMs()))
                .filter(call -> seen.linked(call.box(), call.sentMs(), call.endedMs()))
                .toList();
        long served = counted.stream().filter(PromptCall::served).count();
        boolean rarely = counted.size() >= FEWEST && served < SHARE * usualShare(seen) * counted.size();
        return rarely ? List.of(served + " of " + counted.size() + " served") : List.of();
    }

    private long knownAtMs(Observations seen) {
        Map<String, Long> endedAtMs = new LinkedHashMap<>();
        for (CrashingRun run : seen.partCrashes().runs()) {
            endedAtMs.putIfAbsent(run.incarnation(), seen.soakMs(run.atMs()));
        }
        long lastMs = endedAtMs.values().stream().limit(CRASHES).reduce(0L, (first, second) -> second);
        return lastMs + KNOWN_MS + slackMs;
    }

    private static double usualShare(Observations seen) {
        List<CallRecord> others = seen.calls().stream()
                .filter(call -> call.route() == CallRecord.Route.REPEATABLE)
                .filter(call -> seen.inTouch(call.box(), call.sentMs(), call.endedMs()))
                .toList();
        return others.stream().filter(CallRecord::success).count() / (double) Math.max(1, others.size());
    }
}
