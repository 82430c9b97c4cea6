package org.wingstall.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Tells a request's way from log lines: its own line, and what its box, its endpoints and the box that gathered its pieces
 * wrote about themselves shortly before and during it.
 *
 * <p>{@code RequestExplanation.explain("8d945a4c76dd8568", System.in, System.out);}
 *
 * @since 0.3
 */
final class RequestExplanation {
    /** Time before a request within which changes may have had an effect on it; the longest silence until one is noticed. */
    private static final Duration BEFORE = Duration.ofSeconds(5);

    /** Events that tell of a change in what a box believes or of its life. */
    private static final Set<String> CHANGES = Set.of(
            "started",
            "stopping",
            "stopped",
            "settings-reloaded",
            "config-in-force",
            "config-older",
            "evacuations-changed",
            "endpoint-cold",
            "source-lost",
            "source-regained",
            "endpoint-avoided",
            "endpoint-leaving",
            "endpoint-gone",
            "stage-call-lost",
            "peer-linked",
            "peer-unlinked");

    /** Events about earlier sendings of the same request, at whichever box and however long ago: they decide on later ones. */
    private static final Set<String> OF_THE_SAME = Set.of("endpoint-lost", "crash-report", "quarantine-lifted");

    private static final String FINGERPRINT = "fingerprint";

    private final String requestId;
    private final List<LogLine> own = new ArrayList<>();
    private final List<LogLine> changes = new ArrayList<>();

    private RequestExplanation(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Reads log lines and prints those that explain a request, in the order of their times.
     *
     * @param requestId the request's identifier
     * @param lines log lines of one box or of several
     * @param out takes the explanation
     * @throws NotFoundException if no line is about the request
     * @throws IOException if the lines can't be read
     */
    static void explain(String requestId, InputStream lines, PrintStream out) throws NotFoundException, IOException {
        RequestExplanation explanation = new RequestExplanation(requestId);
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(lines, StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                LogLine.parse(line).ifPresent(explanation::take);
            }
        }
        explanation.print(out);
    }

    private void take(LogLine line) {
        if (line.isAbout(requestId)) {
            own.add(line);
        } else if (CHANGES.contains(line.event()) || OF_THE_SAME.contains(line.event())) {
            changes.add(line);
        }
    }

    private void print(PrintStream out) throws NotFoundException {
        if (own.isEmpty()) {
            throw new NotFoundException("no line is about request '" + requestId
                    + "'; lines beyond the limit are left out and counted in wingstall_log_lines_dropped_total");
        }
        List<LogLine> all = new ArrayList<>(own);
        changes.stream().filter(this::mayConcern).forEach(all::add);
        all.sort(Comparator.comparing(LogLine::time));
        all.forEach(line -> out.println(text(line)));
    }

    /** Changes at the request's box count, and those about anything that the request's line names. */
    private boolean mayConcern(LogLine change) {
        if (OF_THE_SAME.contains(change.event())) {
            return own.stream().anyMatch(line -> sameRequest(line, change));
        }
        return own.stream()
                .anyMatch(line -> during(line, change.time()) && (sameBox(line, change) || named(line, change)));
    }

    private static boolean sameRequest(LogLine line, LogLine other) {
        String fingerprint = line.fields().get(FINGERPRINT);
        return fingerprint != null && fingerprint.equals(other.fields().get(FINGERPRINT));
    }

    private static boolean during(LogLine line, Instant time) {
        long tookMs = Optional.ofNullable(line.fields().get("tookMs"))
                .map(Long::parseLong)
                .orElse(0L);
        Instant from = line.time().minusMillis(tookMs).minus(BEFORE);
        return !time.isBefore(from) && !time.isAfter(line.time().plus(BEFORE));
    }

    private static boolean sameBox(LogLine line, LogLine change) {
        return line.prefix().equals(change.prefix());
    }

    private static boolean named(LogLine line, LogLine change) {
        String inputs = line.fields().values().toString();
        return change.fields().entrySet().stream()
                .filter(field -> Set.of("endpoint", "peer").contains(field.getKey()))
                .anyMatch(field -> inputs.contains(field.getValue()));
    }

    private static String text(LogLine line) {
        StringBuilder text = new StringBuilder(line.time() + " " + line.prefix() + " " + line.event());
        line.fields()
                .forEach((name, value) ->
                        text.append("\n    ").append(name).append(": ").append(value));
        return text.toString();
    }
}
