package org.wingstall.standin.fleet;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The processor time of a process by the job of its threads, as the kernel counts it.
 *
 * <p>{@code ThreadTimes.of(process.pid()).totalMs()}
 *
 * @param msByJob processor time of each job in ms: {@code main}, {@code compiler}, {@code requests}, {@code control},
 *     {@code log}, and {@code vm} for the rest
 * @since 0.6
 */
public record ThreadTimes(Map<String, Double> msByJob) {
    /** Starts of thread names, cut at 15 characters as the kernel does, and the job of such threads. */
    private static final Map<String, String> JOBS = Map.of(
            "main",
            "main",
            "java",
            "main",
            "C1 Compiler",
            "compiler",
            "C2 Compiler",
            "compiler",
            "requests",
            "requests",
            "control",
            "control",
            "Log4j2",
            "log",
            "AsyncAppender",
            "log");

    private static final double NS_PER_MS = 1e6;

    /**
     * Reads what the threads of a process that still live have used since its start.
     *
     * @param pid the process
     * @return their times
     * @throws IOException if the process is gone
     */
    public static ThreadTimes of(long pid) throws IOException {
        Map<String, Double> times = new TreeMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path thread : threads) {
                add(thread, times);
            }
        }
        return new ThreadTimes(times);
    }

    private static void add(Path thread, Map<String, Double> times) throws IOException {
        try {
            String name = Files.readString(thread.resolve("comm")).strip();
            String usedNs = Files.readString(thread.resolve("schedstat")).split(" ")[0];
            times.merge(job(name), Long.parseLong(usedNs) / NS_PER_MS, Double::sum);
        } catch (NoSuchFileException e) {
            // The thread ended after the folder was listed.
        }
    }

    /** Returns the processor time of all threads, in ms. */
    public double totalMs() {
        return msByJob.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    private static String job(String threadName) {
        return JOBS.entrySet().stream()
                .filter(job -> threadName.startsWith(job.getKey()))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse("vm");
    }
}
