package org.wingstall.it.relay;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.gateway.relay.RelayMain;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.TestProcess;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.ShippedSettings;
import org.wingstall.standin.fleet.StoreStandin.Mode;
import org.wingstall.standin.fleet.WorkerStandin;

/** Service did not come back in time after all boxes of a small deployment had been killed and started again. */
public class RelayRestartAllTest {
    private static final Path TEMPLATE = Path.of("..", "deploy", "relay.yaml.template");
    private static final List<String> DOMAINS = List.of("north", "south", "harbour");
    private static final int BOXES = 8;
    private static final int CALLERS = 12;
    private static final long DEADLINE_MS = 1500;

    /** Time after the return for which requests are sent, in ms. */
    private static final long PLAYED_MS = 18_000;

    /** Time within which service has to be back, in ms; recovery_s of the platform. */
    private static final long RECOVERY_MS = 12_000;

    /** Time for which the store is away after the return, in ms. */
    private static final long AWAY_MS = 5000;

    private final List<TestProcess> boxes = new ArrayList<>();
    private final List<String> callerAddresses = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FleetStandin fleet;

    /** What else is wrong when the boxes return. */
    enum Trouble {
        NONE,
        FOREIGN_ENTRIES,
        STORE_BUSY,
        STORE_COUNTS_CALLS,
        STORE_SILENT,
        ENTRIES_LAPSED
    }

    private record Sent(long afterReturnMs, boolean served) {}

    private record Endpoint(String service, String domain, String id, String address) {}

    private final List<Endpoint> endpoints = new ArrayList<>();

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, DEADLINE_MS);
        addEndpoints("engine", 8, 5, 0);
        addEndpoints("plain", 3, 0, 0);
        addEndpoints("first", 3, 0, 150);
        addEndpoints("second", 4, 0, 150);
        listAll();
        Path folder = Files.createTempDirectory("restart");
        for (int i = 0; i < BOXES; i++) {
            String domain = DOMAINS.get(i % DOMAINS.size());
            String settings = ShippedSettings.ofStore(fleet.storeAddress()).fill(TEMPLATE, "box-" + i, domain);
            Path file = folder.resolve("box-" + i + ".yaml");
            Files.writeString(file, settings);
            callerAddresses.add(FleetStandin.valueOf(settings, "callerAddress"));
            boxes.add(TestProcess.startWith(
                    List.of("-Xmx160m", "-Xss256k", "-XX:CompileThresholdScaling=3"),
                    folder,
                    "box-" + i,
                    RelayMain.class,
                    "--settings",
                    file.toString()));
        }
    }

    private void addEndpoints(String service, int count, int events, long callMs) throws Exception {
        for (int i = 0; i < count; i++) {
            String id = service + "-" + i;
            String address = fleet.start(new WorkerStandin(id, events, callMs));
            endpoints.add(new Endpoint(service, DOMAINS.get(i % DOMAINS.size()), id, address));
        }
    }

    private void listAll() {
        endpoints.forEach(endpoint ->
                fleet.list(endpoint.service(), endpoint.domain(), endpoint.id(), endpoint.address(), "ready"));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        boxes.forEach(TestProcess::close);
        boxes.clear();
        callerAddresses.clear();
        endpoints.clear();
        fleet.close();
    }

    @DataProvider
    Object[][] troubles() {
        List<Object[]> rows = new ArrayList<>();
        for (Trouble trouble : Trouble.values()) {
            rows.add(new Object[] {trouble});
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "troubles")
    public void serviceIsBackInTime(Trouble trouble) throws Exception {
        Awaitility.await().atMost(Duration.ofSeconds(30)).until(() -> served(0, "before-" + System.nanoTime()));
        begin(trouble);
        boxes.forEach(TestProcess::kill);
        boxes.forEach(TestProcess::restart);
        long returnedNs = System.nanoTime();
        List<Future<List<Sent>>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            callers.add(threads.submit(() -> call(caller, returnedNs)));
        }
        Pauses.ofMs(AWAY_MS);
        fleet.store().mode(Mode.SERVING);
        if (trouble == Trouble.ENTRIES_LAPSED) {
            listAll();
        }
        List<Sent> sent = new ArrayList<>();
        for (Future<List<Sent>> caller : callers) {
            sent.addAll(caller.get());
        }
        List<Sent> late =
                sent.stream().filter(each -> each.afterReturnMs() > RECOVERY_MS).toList();
        long served = late.stream().filter(Sent::served).count();
        assertTrue(4 * served >= late.size(), trouble + ": " + served + " of " + late.size() + "; " + timeline(sent));
        assertTrue(fleet.store().badRequests() == 0, "malformed calls to the store");
    }

    private void begin(Trouble trouble) {
        switch (trouble) {
            case FOREIGN_ENTRIES -> {
                for (int i = 0; i < 600; i++) {
                    fleet.store().put("servers", i + "&# %+", "of another writer");
                }
            }
            case STORE_BUSY -> fleet.store().mode(Mode.BUSY);
            case STORE_COUNTS_CALLS -> fleet.store().mode(Mode.TOO_MANY_CALLS);
            case STORE_SILENT -> fleet.store().mode(Mode.SILENT);
            case ENTRIES_LAPSED -> endpoints.forEach(endpoint -> fleet.store().remove("servers", endpoint.id()));
            case NONE -> {
                // The restart is trouble enough.
            }
        }
    }

    private List<Sent> call(int caller, long returnedNs) {
        List<Sent> sent = new ArrayList<>();
        for (int i = 0; ; i++) {
            long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - returnedNs);
            if (afterMs > PLAYED_MS) {
                return sent;
            }
            sent.add(new Sent(afterMs, served(caller + i, "c" + caller + "-" + i)));
            Pauses.ofMs(50);
        }
    }

    private boolean served(int turn, String id) {
        String route = List.of("once", "repeatable", "resumable", "staged").get(turn % 4);
        String address = callerAddresses.get(turn % callerAddresses.size());
        HttpRequest request = CallerRequests.withOwnPrompt(
                        CallerRequests.post(address, "/" + route + "/x", id, DEADLINE_MS, "body"), id)
                .setHeader("X-Wingstall-Piece-Key", id)
                .timeout(Duration.ofMillis(DEADLINE_MS))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns served and sent requests of each second after the return. */
    private static String timeline(List<Sent> sent) {
        StringBuilder text = new StringBuilder();
        for (long second = 0; second <= PLAYED_MS / 1000; second++) {
            long from = second * 1000;
            List<Sent> within = sent.stream()
                    .filter(each -> each.afterReturnMs() >= from && each.afterReturnMs() < from + 1000)
                    .toList();
            long served = within.stream().filter(Sent::served).count();
            text.append(second)
                    .append(" s: ")
                    .append(served)
                    .append('/')
                    .append(within.size())
                    .append(", ");
        }
        return text.toString();
    }
}
