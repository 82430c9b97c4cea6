package org.wingstall.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.wingstall.soak.Observations.SeenArrival;

/** Checks that a request that may run again does so only where its box, one of its endpoints or a link was at fault. */
final class SingleRunPromise implements Promise {
    @Override
    public String name() {
        return "one run where nothing is at fault";
    }

    @Override
    public List<String> broken(Observations seen) {
        Map<String, List<SeenArrival>> runs = seen.runsById();
        List<String> broken = new ArrayList<>();
        for (CallRecord call : seen.calls()) {
            List<SeenArrival> own = runs.getOrDefault(call.id(), List.of());
            if (call.route().repeatable() && own.size() > 1 && sound(seen, call, own)) {
                broken.add(call + " ran: " + own);
            }
        }
        return broken;
    }

    private static boolean sound(Observations seen, CallRecord call, List<SeenArrival> runs) {
        return seen.calm(call.box(), call.sentMs(), call.endedMs(), true)
                && seen.linked(call.box(), call.sentMs(), call.endedMs())
                && runs.stream().allMatch(run -> seen.calm(run.what().endpoint(), call.sentMs(), call.endedMs(), true));
    }
}
