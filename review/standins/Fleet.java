import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment on loopback addresses: a store, four workers of a stage, four model workers and two boxes. */
final class Fleet implements AutoCloseable {
    /** Time between the start of the machines and that of traffic. */
    private static final long LEAD_MS = 5000;

    private static final long START_MS = 30_000;

    /** Model workers; the small sites have 8 and more. */
    private static final int MODELS = 4;

    final Store store;
    final List<Worker.OfStage> ledgers = new ArrayList<>();
    final List<Worker.OfModel> models = new ArrayList<>();

    /** The box of zone kgn-a, to which the clients of the case connect. */
    final Box first;

    /** The box of zone kgn-b, which gathers the pieces of pay-ledger while both boxes hear each other. */
    final Box second;

    private final List<AutoCloseable> opened = new ArrayList<>();

    Fleet(Path files, Record record) throws IOException {
        store = opened(new Store("127.0.3.1"));
        store.put("op", "config", Sheet.config(7));
        Worker.Results results = new Worker.Results();
        Worker.Runs runs = new Worker.Runs();
        for (int i = 0; i < 4; i++) {
            ledgers.add(opened(new Worker.OfStage(
                    "i-ledger-" + i, zone(i), "127.0.4." + (i + 1), results, store, record)));
        }
        for (int i = 0; i < MODELS; i++) {
            models.add(opened(new Worker.OfModel(
                    "i-model-" + i, zone(i), "127.0.5." + (i + 1), results, runs, store, record)));
        }
        ledgers.forEach(Worker::list);
        models.forEach(Worker::list);
        first = opened(new Box("edge-kgn-a-1", "kgn-a", "127.0.1.1", store.address(), files, record));
        second = opened(new Box("edge-kgn-b-1", "kgn-b", "127.0.1.2", store.address(), files, record));
    }

    private static String zone(int number) {
        return number % 2 == 0 ? "kgn-a" : "kgn-b";
    }

    private <T extends AutoCloseable> T opened(T part) {
        opened.add(part);
        return part;
    }

    /** Starts the boxes and waits until they are ready and know each other. */
    void start() throws IOException, InterruptedException {
        first.start();
        second.start();
        first.awaitReady(START_MS);
        second.awaitReady(START_MS);
        Thread.sleep(LEAD_MS);
    }

    /** Ends the processes of the boxes. */
    void endProcesses() {
        first.close();
        second.close();
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable part : opened) {
            part.close();
        }
    }
}
