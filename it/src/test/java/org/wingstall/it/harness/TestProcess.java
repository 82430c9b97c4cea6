package org.wingstall.it.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;

/** A program of the project as a process of its own; ends with the test. */
public final class TestProcess implements AutoCloseable {
    private final String name;
    private final List<String> command;
    private final Path log;
    private Process process;
    private boolean stopping;

    private TestProcess(String name, List<String> command, Path folder) {
        this.name = name;
        this.command = command;
        this.log = folder.resolve(name + ".log");
    }

    public static TestProcess start(Path folder, String name, Class<?> main, String... args) {
        return startWith(List.of(), folder, name, main, args);
    }

    /** Starts a program with further options of its runtime. */
    public static TestProcess startWith(List<String> options, Path folder, String name, Class<?> main, String... args) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dwingstall.logLevel=" + System.getProperty("it.logLevel", "info")));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
        command.addAll(Arrays.asList(args));
        TestProcess started = new TestProcess(name, command, folder);
        started.restart();
        return started;
    }

    public void restart() {
        if (process != null) {
            awaitExit(10);
        }
        stopping = false;
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException e) {
            throw new AssertionError(name + " can't be started", e);
        }
    }

    public TestProcess awaitLine(String text) {
        Awaitility.await(name + " prints " + text)
                .atMost(Duration.ofSeconds(30))
                .pollInterval(Duration.ofMillis(50))
                .until(() -> log().contains(text));
        return this;
    }

    public String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return "";
        }
    }

    public void kill() {
        process.destroyForcibly();
        awaitExit(10);
    }

    public void freeze() {
        signal("STOP");
    }

    public void thaw() {
        signal("CONT");
    }

    public void terminate() {
        stopping = true;
        signal("TERM");
    }

    /** Waits until a process that was told to stop has ended; others go on. */
    public void awaitStop(long seconds) {
        if (stopping && alive()) {
            awaitExit(seconds);
        }
    }

    public int awaitExit(long seconds) {
        try {
            if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
                throw new AssertionError(name + " did not end within " + seconds + " s");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns whether the process runs; one that has released its memory has ended, though its exit may take longer. */
    public boolean alive() {
        return process.isAlive() && !hasReleasedMemory();
    }

    /** The kernel releases a process's memory before its connections, and leaves its command line empty from then on. */
    private boolean hasReleasedMemory() {
        try {
            return Files.readAllBytes(Path.of("/proc", Long.toString(process.pid()), "cmdline")).length == 0;
        } catch (IOException e) {
            return !process.isAlive();
        }
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            thaw();
            process.destroyForcibly();
        }
    }
}
