package org.wingstall.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.gateway.relay.RelayMain;
import org.wingstall.net.log.LogEvent;

/** A gateway as a process of its own, with the signals that operators and faults send it. Safe for use on any thread. */
final class BoxProcess {
    private static final Logger LOG = LogManager.getLogger(BoxProcess.class);

    /** Time that a process has to end after the signal that can't be handled, in s; the system needs a moment of it. */
    private static final long END_S = 10;

    private final String boxId;
    private final Path settings;
    private final Path log;
    private Process process;
    private int life;
    private final List<String> options;
    private boolean expectedToEnd;

    /** Creates a process that is started with further options of its runtime. */
    BoxProcess(String boxId, Path settings, Path log, List<String> options) {
        this.options = List.copyOf(options);
        this.boxId = boxId;
        this.settings = settings;
        this.log = log;
    }

    synchronized void start() throws IOException {
        life++;
        expectedToEnd = false;
        process = new ProcessBuilder(command())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        // A gateway that outlives a soak that is ended asks whoever has its store's port next.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly, "end-" + boxId));
    }

    private List<String> command() {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command =
                new ArrayList<>(List.of(java, "-Xmx128m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(options);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                RelayMain.class.getName(),
                "--settings",
                settings.toString()));
        return command;
    }

    /** Returns how often the box was started. */
    synchronized int life() {
        return life;
    }

    /** Returns whether the process has ended without a signal that asked for it. */
    synchronized boolean endedByItself() {
        return !process.isAlive() && !expectedToEnd;
    }

    synchronized void kill() throws InterruptedException {
        expectedToEnd = true;
        process.destroyForcibly();
        process.waitFor(END_S, TimeUnit.SECONDS);
    }

    /** Asks the process to end as planned, and ends it when the grace is over. */
    synchronized void terminate(long graceMs) throws InterruptedException {
        expectedToEnd = true;
        signal("TERM");
        if (!process.waitFor(graceMs, TimeUnit.MILLISECONDS)) {
            LogEvent.warn("grace-used-up").with("box", boxId).to(LOG);
            process.destroyForcibly();
            process.waitFor(END_S, TimeUnit.SECONDS);
        }
    }

    void pause() throws InterruptedException {
        signal("STOP");
    }

    void resume() throws InterruptedException {
        signal("CONT");
    }

    void reload() throws InterruptedException {
        signal("HUP");
    }

    private void signal(String name) throws InterruptedException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            LogEvent.warn("signal-not-sent").with("box", boxId).cause(e).to(LOG);
        }
    }

    /** Returns whether the process of this life says that it has started. */
    synchronized boolean started() throws IOException {
        String written = Files.exists(log) ? Files.readString(log) : "";
        return written.split("\"event\":\"started\"", -1).length > life;
    }
}
