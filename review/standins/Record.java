import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start; written to record.txt. */
final class Record implements AutoCloseable {
    private final long startedNs = System.nanoTime();
    private final PrintWriter out;
    private int broken;

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    synchronized void note(String what) {
        out.printf(java.util.Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - startedNs) / 1e9, what);
        out.flush();
    }

    synchronized void broken(String what) {
        broken++;
        note("RULE BROKEN: " + what);
    }

    /** Returns how often the rule was seen broken. */
    synchronized int broken() {
        return broken;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
