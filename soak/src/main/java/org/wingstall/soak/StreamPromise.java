package org.wingstall.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Checks that a stream has all its events once, of one software version, in one answer and over its caller's tries. */
final class StreamPromise implements Promise {
    @Override
    public String name() {
        return "one whole stream of one version";
    }

    @Override
    public List<String> broken(Observations seen) {
        Map<String, List<StreamTry>> streams = seen.streamTries().stream()
                .collect(Collectors.groupingBy(StreamTry::streamId, LinkedHashMap::new, Collectors.toList()));
        List<String> broken = new ArrayList<>();
        for (List<StreamTry> tries : streams.values()) {
            boolean sound = ofOneVersion(tries) && withoutGap(tries) && completeWhereItLooksSo(tries);
            if (!sound) {
                broken.add(tries.toString());
            }
        }
        return broken;
    }

    private static boolean ofOneVersion(List<StreamTry> tries) {
        Set<String> writers = new TreeSet<>();
        tries.forEach(each -> writers.addAll(each.writers()));
        return writers.size() <= 1;
    }

    private static boolean withoutGap(List<StreamTry> tries) {
        int last = 0;
        for (StreamTry each : tries) {
            for (int event : each.events()) {
                if (event != last + 1) {
                    return false;
                }
                last = event;
            }
        }
        return true;
    }

    private static boolean completeWhereItLooksSo(List<StreamTry> tries) {
        int events = tries.stream().mapToInt(each -> each.events().size()).sum();
        return tries.stream()
                .filter(StreamTry::looksComplete)
                .allMatch(each -> events == SoakFleet.EVENTS && !each.answer().endsInsideEvent());
    }
}
