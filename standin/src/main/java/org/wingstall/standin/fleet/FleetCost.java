package org.wingstall.standin.fleet;

import java.io.File;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.wingstall.net.BindException;

/**
 * Measures what a request costs the gateways of a fleet, and what they cost without any, by the job of their threads.
 *
 * <p>{@code java ... org.wingstall.standin.fleet.FleetCost 80 40 60 30 java -jar target/wingstall-relay.jar} starts 80
 * gateways in three failure domains before 40 engines, lets 60 callers a second come for 30 s, and prints the processor
 * time of all gateways.
 *
 * @since 0.17
 */
public final class FleetCost {
    private static final List<String> DOMAINS = List.of("east", "west", "north");
    private static final List<String> ROUTES = List.of("stream", "resumable", "staged", "once", "repeatable");
    private static final int LARGE_BOXES = 6;
    private static final int STAGE_ENDPOINTS = 6;
    private static final int STAGE_MS = 20;
    private static final int EVENTS = 12;
    private static final long DEADLINE_MS = 8000;
    private static final double NS_PER_MS = 1e6;

    /** Time between starts, in ms, so that the starts don't slow each other down until the first one counts as silent. */
    private static final long START_GAP_MS = 100;

    /** Time in which links, lists and compilations of the starts come to rest, and time of the idle phase, in ms. */
    private static final long SETTLE_MS = 10_000;

    private final int boxes;
    private final List<String> command;
    private final FleetStandin fleet;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Random random = new Random(1);
    private final List<String> settings = new ArrayList<>();
    private final List<Process> gateways = new ArrayList<>();
    private final Map<Integer, AtomicInteger> answersByStatus = new ConcurrentSkipListMap<>();

    private FleetCost(int boxes, List<String> command, FleetStandin fleet) {
        this.boxes = boxes;
        this.command = command;
        this.fleet = fleet;
    }

    /** Runs the fleet and prints the table. Arguments: boxes, engines, callers a second, seconds, command of a gateway. */
    public static void main(String[] args) throws IOException, BindException, InterruptedException {
        int engines = Integer.parseInt(args[1]);
        int perSecond = Integer.parseInt(args[2]);
        int seconds = Integer.parseInt(args[3]);
        try (FleetStandin fleet = new FleetStandin()) {
            FleetCost cost =
                    new FleetCost(Integer.parseInt(args[0]), List.of(args).subList(4, args.length), fleet);
            try {
                cost.startEndpoints(engines);
                cost.startGateways();
                cost.measure(perSecond, seconds);
            } finally {
                cost.stop();
            }
        }
        System.exit(0);
    }

    private void startEndpoints(int engines) throws BindException {
        fleet.configure(1, DEADLINE_MS);
        for (int i = 0; i < engines; i++) {
            add("engine", "e" + i, i, new WorkerStandin("e" + i, EVENTS, 0));
        }
        for (int i = 0; i < STAGE_ENDPOINTS; i++) {
            add("plain", "p" + i, i, new WorkerStandin("p" + i, 0, 0));
            add("first", "f" + i, i, new WorkerStandin("f" + i, 0, STAGE_MS));
            add("second", "s" + i, i, new WorkerStandin("s" + i, 0, STAGE_MS));
        }
    }

    private void add(String service, String incarnation, int number, WorkerStandin worker) throws BindException {
        fleet.add(service, DOMAINS.get(number % DOMAINS.size()), incarnation, worker);
    }

    private void startGateways() throws IOException {
        for (int i = 0; i < boxes; i++) {
            boolean large = i < LARGE_BOXES;
            String text = fleet.settings("box-" + i, DOMAINS.get(i % DOMAINS.size())) + "processors: " + (large ? 2 : 1)
                    + "\nprocessorShare: " + (large ? 0.75 : 0.36) + "\n";
            Path file = Files.createTempFile("wingstall-fleet-cost", ".yaml");
            Files.writeString(file, text);
            file.toFile().deleteOnExit();
            settings.add(text);
            List<String> words = command.stream()
                    .map(word -> word.replace("BOX", Integer.toString(gateways.size())))
                    .toList();
            ProcessBuilder builder = new ProcessBuilder(words);
            builder.environment().put("WINGSTALL_CONFIG", file.toString());
            builder.redirectOutput(ProcessBuilder.Redirect.to(new File("/dev/null")))
                    .redirectError(ProcessBuilder.Redirect.INHERIT);
            gateways.add(builder.start());
            pause(START_GAP_MS);
        }
    }

    private void measure(int perSecond, int seconds) throws IOException {
        pause(SETTLE_MS);
        Map<String, Double> started = times();
        print("start, for each box", started, boxes);
        pause(SETTLE_MS);
        Map<String, Double> idle = times();
        print("a second without callers, for each box", difference(idle, started), boxes * SETTLE_MS / 1000.0);
        int requests = perSecond * seconds;
        List<CompletableFuture<?>> sent = new ArrayList<>();
        long beginNs = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            sent.add(send(i));
            long nextNs = beginNs + TimeUnit.SECONDS.toNanos(1) * (i + 1) / perSecond;
            LockSupport.parkNanos(Math.max(0, nextNs - System.nanoTime()));
        }
        CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new)).join();
        double tookS = (System.nanoTime() - beginNs) / 1e9;
        print("a request", difference(times(), idle), requests);
        System.out.printf(Locale.ROOT, "answers by status (0: none): %s in %.1f s%n", answersByStatus, tookS);
    }

    private CompletableFuture<?> send(int number) {
        String box = settings.get(random.nextInt(boxes));
        String route = ROUTES.get(number % ROUTES.size());
        String id = "cost" + Long.toHexString(random.nextLong());
        String prompt = "aa%02x:2500,bb%04x:3800,%s:1200".formatted(random.nextInt(4), random.nextInt(600), id);
        var request = CallerRequests.within(
                CallerRequests.post(
                                FleetStandin.valueOf(box, "callerAddress"),
                                "/" + route + "/" + number,
                                id,
                                DEADLINE_MS,
                                "body")
                        .setHeader("X-Wingstall-Prefix-Hash", prompt)
                        .header("X-Wingstall-Model", "m")
                        .header("X-Wingstall-Token-Count", "7500,80"),
                DEADLINE_MS);
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).handle((response, failure) -> {
            int status = failure == null ? response.statusCode() : 0;
            answersByStatus.computeIfAbsent(status, any -> new AtomicInteger()).incrementAndGet();
            return null;
        });
    }

    /** Returns the time of all gateways by job; what threads used that have ended counts for the job {@code ended}. */
    private Map<String, Double> times() throws IOException {
        Map<String, Double> sum = new TreeMap<>();
        for (Process gateway : gateways) {
            ThreadTimes times = ThreadTimes.of(gateway.pid());
            times.msByJob().forEach((job, usedMs) -> sum.merge(job, usedMs, Double::sum));
            double allMs = gateway.info()
                    .totalCpuDuration()
                    .map(used -> used.toNanos() / NS_PER_MS)
                    .orElse(0.0);
            sum.merge("ended", Math.max(0, allMs - times.totalMs()), Double::sum);
        }
        return sum;
    }

    private static Map<String, Double> difference(Map<String, Double> after, Map<String, Double> before) {
        Map<String, Double> difference = new TreeMap<>();
        after.forEach((job, usedMs) -> difference.put(job, usedMs - before.getOrDefault(job, 0.0)));
        return difference;
    }

    private static void print(String what, Map<String, Double> usedMs, double count) {
        double totalMs =
                usedMs.values().stream().mapToDouble(Double::doubleValue).sum();
        StringBuilder jobs = new StringBuilder();
        usedMs.forEach((job, ms) -> jobs.append(String.format(Locale.ROOT, " %s %.2f", job, ms / count)));
        System.out.printf(Locale.ROOT, "%s | %.2f ms |%s%n", what, totalMs / count, jobs);
    }

    private static void pause(long durationMs) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(durationMs));
    }

    private void stop() throws InterruptedException {
        gateways.forEach(Process::destroy);
        for (Process gateway : gateways) {
            gateway.waitFor(2, TimeUnit.SECONDS);
        }
        gateways.forEach(Process::destroyForcibly);
    }
}
