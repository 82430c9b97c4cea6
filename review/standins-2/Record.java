import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time in ms since the start of the script. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void say(String format, Object... parts) {
        out.println(nowMs() + " " + String.format(Locale.ROOT, format, parts));
    }

    @Override
    public void close() {
        out.close();
    }
}
