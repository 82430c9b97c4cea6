package org.wingstall.soak;

import java.util.List;
import java.util.function.Predicate;

/** Checks that streams go on at boxes in touch about as often as new ones begin there. */
final class ResumePromise implements Promise {
    /** Fewest tries that count; the platform's own figure. */
    private static final int FEWEST = 12;

    /** Least share that goes on, relative to the share that begins; the platform's own figure. */
    private static final double SHARE = 0.5;

    /** Tries of one kind at boxes in touch. */
    private record Tries(long sent, long wentOn) {
        static Tries of(Observations seen, Predicate<StreamTry> counted) {
            List<StreamTry> sent = seen.streamTries().stream()
                    .filter(counted)
                    .filter(each -> seen.inTouch(each.box(), each.sentMs(), each.endedMs()))
                    .toList();
            return new Tries(
                    sent.size(), sent.stream().filter(StreamTry::wentOn).count());
        }

        double share() {
            return sent == 0 ? 0 : wentOn / (double) sent;
        }
    }

    @Override
    public String name() {
        return "streams go on";
    }

    @Override
    public List<String> broken(Observations seen) {
        Tries begun = Tries.of(seen, each -> !each.resumes());
        Tries resumed = Tries.of(seen, StreamTry::resumes);
        boolean rarely = resumed.sent() >= FEWEST && resumed.share() < SHARE * begun.share();
        return rarely ? List.of(resumed + " resumed, " + begun + " begun") : List.of();
    }
}
