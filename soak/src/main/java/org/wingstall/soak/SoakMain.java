package org.wingstall.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.wingstall.net.BindException;

/**
 * Plays seeds of the soak and says which promises did not hold; exits with 1 if one did not.
 *
 * <p>{@code scripts/soak.sh --seeds 50 --first 1 --jobs 2}
 *
 * @since 0.3
 */
public final class SoakMain {
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_USAGE = 2;
    private static final int MOST_DETAILS = 5;

    private SoakMain() {}

    /** Plays the seeds that the arguments name. */
    public static void main(String[] args) throws InterruptedException, ExecutionException {
        ArgumentParser parser = parser();
        try {
            Namespace options = parser.parseArgs(args);
            System.exit(playAll(options) == 0 ? 0 : EXIT_BROKEN);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("soak")
                .build()
                .description("Plays seeds of faults on real gateway processes and checks what must hold.");
        parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("how many seeds");
        parser.addArgument("--first")
                .type(Long.class)
                .setDefault(System.currentTimeMillis())
                .help("first seed");
        parser.addArgument("--seed").type(Long.class).nargs("+").help("these seeds, whatever --seeds and --first say");
        parser.addArgument("--jobs").type(Integer.class).setDefault(1).help("seeds played at once");
        parser.addArgument("--boxes").type(Integer.class).setDefault(3).help("gateway processes");
        parser.addArgument("--callers").type(Integer.class).setDefault(12).help("callers");
        parser.addArgument("--faults-ms").type(Long.class).setDefault(12_000L).help("time within which faults begin");
        parser.addArgument("--slack-ms").type(Long.class).setDefault(500L).help("what bounds in time are stretched by");
        parser.addArgument("--folder").setDefault("target/soak").help("takes settings and logs, a folder a seed");
        return parser;
    }

    private static int playAll(Namespace options) throws InterruptedException, ExecutionException {
        ExecutorService jobs = Executors.newFixedThreadPool(options.getInt("jobs"));
        List<Future<Boolean>> seeds = new ArrayList<>();
        for (long seed : seedsOf(options)) {
            seeds.add(jobs.submit(() -> play(options, seed)));
        }
        int broken = 0;
        for (Future<Boolean> seed : seeds) {
            broken += seed.get() ? 0 : 1;
        }
        jobs.shutdown();
        System.out.println(seeds.size() - broken + " seeds held, " + broken + " did not");
        return broken;
    }

    private static List<Long> seedsOf(Namespace options) {
        List<Long> named = options.getList("seed");
        long first = options.getLong("first");
        return named != null
                ? named
                : LongStream.range(first, first + options.getInt("seeds"))
                        .boxed()
                        .toList();
    }

    private static boolean play(Namespace options, long seed) throws IOException, InterruptedException {
        Path folder = Files.createDirectories(Path.of(options.getString("folder"), Long.toString(seed)));
        SoakOptions run = new SoakOptions(
                seed,
                options.getInt("boxes"),
                options.getInt("callers"),
                options.getLong("faults_ms"),
                options.getLong("slack_ms"),
                folder.toAbsolutePath());
        SoakRun soak = new SoakRun(run);
        try {
            List<Violation> broken = soak.play();
            report(seed, soak, broken);
            return broken.isEmpty();
        } catch (BindException | FaultFailedException e) {
            System.out.println("seed " + seed + " could not be played: " + e.getMessage());
            return false;
        }
    }

    private static synchronized void report(long seed, SoakRun soak, List<Violation> broken) {
        System.out.println("seed " + seed + (broken.isEmpty() ? " held" : " BROKE") + ", " + soak.summary());
        broken.stream()
                .limit(MOST_DETAILS)
                .forEach(violation -> System.out.println("  " + violation.promise() + ": " + violation.detail()));
        if (!broken.isEmpty()) {
            System.out.println("  " + soak.disturbed());
        }
    }
}
