package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.BreakingEndpoint;
import org.wingstall.standin.fleet.BreakingEndpoint.Ending;
import org.wingstall.standin.fleet.BreakingEndpoint.Framing;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;
import org.wingstall.standin.fleet.WorkerStandin;

/** Callers got a stream that its endpoint broke off inside an event as a complete answer. */
public class RelayBrokenStreamTest {
    private static final int EVENTS = 6;
    private static final int REQUESTS = 10;
    private static final long CALLER_WAITS_MS = 5000;
    private static final String EVENT = "id: 1\ndata: token 1\n\n";

    private final AtomicInteger names = new AtomicInteger();
    private FleetStandin fleet;

    /** Where in the stream its bytes end. */
    enum Position {
        AFTER_EVENT(EVENT),
        AFTER_COMMENT(EVENT + ": waiting\n"),
        INSIDE_LINE(EVENT + "id: 2\nda"),
        BEFORE_EMPTY_LINE(EVENT + "id: 2\ndata: token 2\n"),
        INSIDE_COMMENT(EVENT + ": wai"),
        BEFORE_FIRST_EVENT("");

        private final String body;

        Position(String body) {
            this.body = body;
        }

        boolean complete(Framing framing, Ending ending) {
            boolean whole = this == AFTER_EVENT || this == AFTER_COMMENT;
            return framing == Framing.CHUNKS
                    ? ending == Ending.LAST_CHUNK && (whole || this == BEFORE_FIRST_EVENT)
                    : ending == Ending.ORDERLY && whole;
        }
    }

    @BeforeClass
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @DataProvider
    Object[][] ends() {
        List<Object[]> rows = new ArrayList<>();
        for (String route : List.of("stream", "resumable")) {
            for (Framing framing : Framing.values()) {
                for (Ending ending : Ending.values()) {
                    if (ending == Ending.LAST_CHUNK && framing != Framing.CHUNKS) {
                        continue;
                    }
                    for (Position position : Position.values()) {
                        rows.add(new Object[] {route, framing, ending, position});
                    }
                }
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "ends")
    public void aStreamLooksCompleteOnlyIfItsEndpointCompletedIt(
            String route, Framing framing, Ending ending, Position position) throws Exception {
        String name = "e" + names.incrementAndGet();
        try (BreakingEndpoint endpoint = new BreakingEndpoint(name, framing, ending, position.body)) {
            fleet.list("engine", "east", name, endpoint.start(), "ready");
            try (RelayBox fresh = new RelayBox(fleet, "box-" + name).awaitReady()) {
                assertEquals(looksComplete(fresh, route, name), position.complete(framing, ending));
            }
        } finally {
            fleet.store().remove("servers", name);
        }
    }

    /** The box began a second answer inside the stream, and left the caller waiting for the rest of the first. */
    @Test
    public void aStreamThatIsToGoOnWithAWholeTextIsBrokenOff() throws Exception {
        WorkerStandin breaking = new WorkerStandin("breaking", EVENTS, 0);
        WorkerStandin other = new WorkerStandin("other", 0, 0);
        breaking.behave(WorkerStandin.Behaviour.CUTS_ANSWER);
        fleet.add("engine", "east", "breaking", breaking);
        fleet.add("engine", "east", "other", other);
        try (RelayBox box = new RelayBox(fleet, "box-other").awaitReady()) {
            int resumed = 0;
            for (int i = 0; i < REQUESTS; i++) {
                HttpRequest request = CallerRequests.withOwnPrompt(box.request("resumable", "text-" + i), "text-" + i)
                        .build();
                PartialAnswer answer = sendPartially(request).get(CALLER_WAITS_MS, TimeUnit.MILLISECONDS);
                if (answer.body().startsWith("id: 1")) {
                    resumed++;
                    assertFalse(answer.whole(), answer.toString());
                    assertEquals(answer.events(), List.of(1, 2));
                }
            }
            assertTrue(resumed > 0);
        } finally {
            fleet.store().remove("servers", "breaking");
            fleet.store().remove("servers", "other");
        }
    }

    private static CompletableFuture<PartialAnswer> sendPartially(HttpRequest request) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return RelayBox.sendPartially(request);
            } catch (InterruptedException e) {
                throw new CompletionException(e);
            }
        });
    }

    private static boolean looksComplete(RelayBox box, String route, String id) {
        try {
            return box.post(route, id).status() == 200;
        } catch (CompletionException e) {
            return false;
        }
    }
}
