package org.wingstall.standin.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.wingstall.net.BindException;

/**
 * Measures what a gateway costs in processor time until it has served its first callers, by the job of its threads.
 *
 * <p>{@code java ... org.wingstall.standin.fleet.StartCost 10 java -jar target/wingstall-gateway.jar} prints for each phase
 * the median of ten starts. The settings are handed over in the variable that the gateway reads.
 *
 * @since 0.6
 */
public final class StartCost {
    /** Pause after a phase, in ms, in which work that it caused (compilation, logging) comes to its end. */
    private static final long SETTLE_MS = 300;

    private static final long STOP_MS = 10_000;
    private static final int FEW_CALLERS = 80;

    private final List<String> command;
    private final Map<String, List<ThreadTimes>> phases = new TreeMap<>();

    private StartCost(List<String> command) {
        this.command = command;
    }

    /** Runs the starts and prints the table; exits with 1 when a gateway does not serve. */
    public static void main(String[] args) throws IOException, BindException, InterruptedException {
        int starts = Integer.parseInt(args[0]);
        StartCost cost = new StartCost(List.of(args).subList(1, args.length));
        for (int i = 0; i < starts; i++) {
            cost.start();
        }
        cost.print();
        System.exit(0);
    }

    private void start() throws IOException, BindException, InterruptedException {
        try (FleetStandin fleet = new FleetStandin()) {
            String settings = fleet.withAllServices().settings("cost-1", "east");
            Path file = Files.createTempFile("wingstall-cost", ".yaml");
            Files.writeString(file, settings);
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("WINGSTALL_CONFIG", file.toString());
            builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectError(ProcessBuilder.Redirect.INHERIT);
            Process gateway = builder.start();
            try {
                measure(gateway, new Rehearsal(settings));
            } finally {
                gateway.destroy();
                gateway.waitFor(STOP_MS, TimeUnit.MILLISECONDS);
                Files.delete(file);
            }
        }
    }

    private void measure(Process gateway, Rehearsal callers) throws IOException, InterruptedException {
        if (!callers.ready()) {
            throw new IOException("the gateway was not ready within its time");
        }
        note("1 ready", gateway);
        callers.send(1);
        settle();
        note("2 one caller of each kind", gateway);
        callers.send(FEW_CALLERS / Rehearsal.kinds());
        settle();
        note("3 " + FEW_CALLERS + " callers more", gateway);
    }

    private void note(String phase, Process gateway) throws IOException {
        phases.computeIfAbsent(phase, any -> new ArrayList<>()).add(ThreadTimes.of(gateway.pid()));
    }

    private static void settle() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SETTLE_MS));
    }

    private void print() {
        System.out.println("phase | total ms | by job, ms (medians of processor time since the start)");
        phases.forEach((phase, times) -> {
            double totalMs = median(times.stream().map(ThreadTimes::totalMs).toList());
            StringBuilder jobs = new StringBuilder();
            times.get(0)
                    .msByJob()
                    .keySet()
                    .forEach(job -> jobs.append(String.format(
                            Locale.ROOT,
                            " %s %.0f",
                            job,
                            median(times.stream()
                                    .map(time -> time.msByJob().getOrDefault(job, 0.0))
                                    .toList()))));
            System.out.printf(Locale.ROOT, "%s | %.0f |%s%n", phase, totalMs, jobs);
        });
    }

    private static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }
}
