import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What each script has: a record, a temporary folder, a store, and the boxes and workers that it started. */
final class Bed implements AutoCloseable {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    /** A case; returns the exit code. */
    interface Case {
        int run(Bed bed) throws Exception;
    }

    final Record record;
    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder;
    private final List<AutoCloseable> started = new ArrayList<>();

    private Bed(Path caseFolder) throws IOException {
        record = new Record(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review");
        store = new Store();
        started.add(store);
    }

    /** Runs a case whose folder is the first argument, and exits with its code. */
    static void main(String[] arguments, Case toRun) throws Exception {
        int code = COULD_NOT_RUN;
        Bed bed = new Bed(Path.of(arguments[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(bed::close));
        try {
            bed.record.say("trouble: %s", bed.trouble);
            code = toRun.run(bed);
        } catch (Exception e) {
            bed.record.say("the case could not run: %s", e);
        }
        bed.record.say("exit code %d", code);
        System.out.println("exit code " + code);
        System.exit(code);
    }

    Worker worker(String id, Worker.Work work) throws IOException {
        Worker worker = new Worker(id, record, work);
        started.add(worker);
        return worker;
    }

    /** Starts a box; fails if it isn't ready within 20 s. */
    Box box(String id, String zone) throws IOException, InterruptedException {
        Box box = new Box(id, zone, folder, store.address(), record);
        started.add(box);
        box.start();
        if (!box.awaitReady(20_000)) {
            throw new IOException("box " + id + " is not ready");
        }
        return box;
    }

    @Override
    public synchronized void close() {
        for (AutoCloseable part : started) {
            try {
                part.close();
            } catch (Exception e) {
                record.say("not ended: %s", e);
            }
        }
        started.clear();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is gone.
        }
    }
}
