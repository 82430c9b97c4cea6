package org.wingstall.standin.fleet;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.wingstall.net.BindException;

/**
 * Gives one gateway requests of every kind and the work of a box in a fleet, so that the classes for these are loaded when
 * its archive of classes is made.
 *
 * <p>{@code java ... org.wingstall.standin.fleet.Rehearsal target/rehearsal} writes {@code relay.yaml} there, waits for a
 * gateway with those settings, sends requests and ends. It starts other gateways by the command that follows the folder.
 *
 * @since 0.2
 */
public final class Rehearsal {
    private static final List<String> ROUTES = List.of("stream", "resumable", "staged", "once", "repeatable");
    private static final int ROUNDS = 20;
    private static final int OK = 200;
    private static final long PATIENCE_MS = 30_000;
    private static final long DEADLINE_MS = 8000;
    private static final long PAUSE_MS = 50;
    private static final long LONGEST_MS = 60_000;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String settings;

    Rehearsal(String settings) {
        this.settings = settings;
    }

    /**
     * Runs the rehearsal; exits with 1 when requests are not served.
     *
     * @param args the folder, and the command that starts another gateway when its settings are added; without a command
     *     there are no other gateways
     */
    public static void main(String[] args) throws IOException, BindException, InterruptedException {
        Path folder = Path.of(args[0]);
        endLater();
        Files.createDirectories(folder);
        try (FleetStandin fleet = new FleetStandin().withAllServices();
                FleetRehearsal others =
                        new FleetRehearsal(fleet, folder, List.of(args).subList(1, args.length))) {
            Runtime.getRuntime().addShutdownHook(new Thread(others::close));
            Files.writeString(folder.resolve("relay.yaml"), others.settings());
            others.startPeers();
            boolean served = new Rehearsal(others.settings()).run();
            if (served) {
                others.run();
            }
            System.exit(served ? 0 : 1);
        }
    }

    /** Ends a rehearsal that takes too long: an archive with fewer classes is better than a build that stands still. */
    private static void endLater() {
        CompletableFuture.delayedExecutor(LONGEST_MS, TimeUnit.MILLISECONDS).execute(() -> System.exit(1));
    }

    private boolean run() throws InterruptedException {
        return ready() && sendAll();
    }

    /** Waits until the gateway says that it is ready; returns whether it did in time. */
    boolean ready() throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (System.nanoTime() < untilNs) {
            if (status("readinessAddress", "/v1/readyz") == OK) {
                return true;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MS));
        }
        return false;
    }

    private boolean sendAll() throws InterruptedException {
        int served = send(ROUNDS);
        status("operatorAddress", "/metrics");
        System.out.println(served + " of " + ROUNDS * kinds() + " requests were served");
        return served > 0;
    }

    /** Returns the kinds of requests in a round. */
    static int kinds() {
        return ROUTES.size();
    }

    /** Sends rounds of one request of each kind; returns how many were served. */
    int send(int rounds) throws InterruptedException {
        int served = 0;
        for (int round = 0; round < rounds; round++) {
            for (String route : ROUTES) {
                served += status("callerAddress", "/" + route + "/" + round) == OK ? 1 : 0;
            }
        }
        return served;
    }

    private int status(String address, String path) throws InterruptedException {
        HttpRequest request = CallerRequests.within(
                CallerRequests.post(valueOf(address), path, "rehearsal" + System.nanoTime(), DEADLINE_MS, "body")
                        .header("X-Wingstall-Model", "m")
                        .header("X-Wingstall-Token-Count", "1460,80"),
                PATIENCE_MS);
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private String valueOf(String key) {
        return FleetStandin.valueOf(settings, key);
    }
}
