package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.peer.RendezvousHash;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.EndpointLinks;
import org.wingstall.standin.fleet.EndpointLinks.Cut;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/** Boxes that lost their links to all endpoints refused their callers, and stages of the callers of all other boxes. */
public class RelayEndpointsUnreachableTest {
    private static final int BOXES = 4;
    private static final int ENDPOINTS = 2;
    private static final int STAGE_MS = 30;
    private static final long DEADLINE_MS = 5000;

    /** Time after which first tries are to be served as before, in ms. */
    private static final long SERVED_AGAIN_MS = 1000;

    private static final int ROUNDS = 10;
    private static final long ROUND_MS = 100;

    /** Share of first tries that is to be served at boxes without links, relative to the others. */
    private static final double SERVED_SHARE = 0.95;

    private static final List<String> ROUTES = List.of("once", "repeatable", "stream", "staged");

    private final List<WorkerStandin> plain = new ArrayList<>();
    private final List<WorkerStandin> engines = new ArrayList<>();
    private final List<EndpointLinks> links = new ArrayList<>();
    private final List<RelayBox> boxes = new ArrayList<>();
    private FleetStandin fleet;

    /** Requests that were sent and served as their first try, with the rest in words. */
    private record Tries(int sent, int served, List<String> refused) {
        double share() {
            return (double) served / sent;
        }
    }

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, DEADLINE_MS, DEADLINE_MS);
        for (int i = 0; i < ENDPOINTS; i++) {
            engines.add(new WorkerStandin("e" + i, 3, 0));
            plain.add(new WorkerStandin("p" + i, 0, 0));
            fleet.add("engine", "east", "e" + i, engines.get(i));
            fleet.add("plain", "east", "p" + i, plain.get(i));
            fleet.add("first", "east", "f" + i, new WorkerStandin("f" + i, 0, STAGE_MS));
            fleet.add("second", "east", "s" + i, new WorkerStandin("s" + i, 0, STAGE_MS));
        }
        // The first boxes are those that coordinate a stage, or do so when the ones before them can't.
        List<String> ids = List.of("box-0", "box-1", "box-2", "box-3");
        for (String id : RendezvousHash.top("pieces:first", ids, BOXES)) {
            links.add(fleet.linksOfOneBox());
            boxes.add(new RelayBox(fleet, id, links.get(links.size() - 1)).awaitReady());
        }
        Awaitility.await().until(() -> boxes.stream()
                .allMatch(box -> box.metrics().contains("wingstall_peers_heard " + (BOXES - 1) + ".0")));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        boxes.forEach(RelayBox::close);
        Stream.of(boxes, links, plain, engines).forEach(List::clear);
        fleet.close();
    }

    @DataProvider
    Object[][] cuts() {
        return Stream.of(Cut.values())
                .flatMap(how -> Stream.of(1, BOXES - 1).map(boxesCut -> new Object[] {how, boxesCut}))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "cuts")
    public void firstTriesAreServedAlikeAtBoxesWithAndWithoutLinks(Cut how, int boxesCut) throws IOException {
        sendRounds(boxes, "before", 2);
        for (EndpointLinks cut : links.subList(0, boxesCut)) {
            cut.cut(how);
        }
        sendRounds(boxes, "detecting", (int) (SERVED_AGAIN_MS / ROUND_MS));
        CompletableFuture<Tries> atCut =
                CompletableFuture.supplyAsync(() -> sendRounds(boxes.subList(0, boxesCut), "cut", ROUNDS));
        Tries atOthers = sendRounds(boxes.subList(boxesCut, BOXES), "others", ROUNDS);
        Tries withoutLinks = atCut.join();
        assertEquals(atOthers.refused(), List.of(), "at boxes that reach all endpoints");
        assertTrue(withoutLinks.share() >= SERVED_SHARE * atOthers.share(), withoutLinks.toString());
        assertEquals(runTwice(), List.of(), "requests that may run once");
    }

    @Test(dataProvider = "cuts")
    public void firstTriesAreServedAfterTheLinksAreBack(Cut how, int boxesCut) throws IOException {
        for (EndpointLinks cut : links.subList(0, boxesCut)) {
            cut.cut(how);
        }
        sendRounds(boxes, "detecting", (int) (SERVED_AGAIN_MS / ROUND_MS));
        for (EndpointLinks cut : links.subList(0, boxesCut)) {
            cut.heal();
        }
        sendRounds(boxes, "healing", (int) (SERVED_AGAIN_MS / ROUND_MS));
        assertEquals(sendRounds(boxes, "after", ROUNDS).refused(), List.of());
    }

    /** A box that stops as planned cut the connections that it carried for a box without links. */
    @Test
    public void thePlannedStopOfABoxOnTheWayCutsNothing() throws IOException {
        links.get(0).cut(Cut.RESET);
        sendRounds(boxes.subList(0, 1), "detecting", (int) (SERVED_AGAIN_MS / ROUND_MS));
        CompletableFuture<Void> stops =
                CompletableFuture.runAsync(() -> boxes.subList(2, BOXES).forEach(RelayBox::close));
        Tries tries = sendRounds(boxes.subList(0, 1), "stopping", 2 * ROUNDS);
        stops.join();
        assertEquals(tries.refused(), List.of());
        assertEquals(runTwice(), List.of(), "requests that may run once");
    }

    private List<String> runTwice() {
        List<String> once = plain.stream()
                .flatMap(worker -> worker.runs().stream())
                .filter(run -> run.target().startsWith("/once/"))
                .map(WorkerStandin.Seen::id)
                .toList();
        return once.stream()
                .filter(id -> once.indexOf(id) != once.lastIndexOf(id))
                .distinct()
                .toList();
    }

    /** Sends a request of each route to each box in each round, and waits for all answers. */
    private static Tries sendRounds(List<RelayBox> boxes, String name, int rounds) {
        List<CompletableFuture<String>> replies = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            for (int box = 0; box < boxes.size(); box++) {
                for (String route : ROUTES) {
                    String id = name + "-" + route + "-" + round + "-" + box;
                    replies.add(boxes.get(box)
                            .postAsync(route, id)
                            .handle((reply, failure) -> outcome(id, reply, failure)));
                }
            }
            Pauses.ofMs(ROUND_MS);
        }
        List<String> refused = replies.stream()
                .map(CompletableFuture::join)
                .filter(text -> !text.isEmpty())
                .toList();
        return new Tries(replies.size(), replies.size() - refused.size(), refused);
    }

    private static String outcome(String id, RelayBox.Reply reply, Throwable failure) {
        if (failure != null) {
            return id + ": " + failure.getMessage();
        }
        return reply.status() == 200 ? "" : id + ": " + reply.status() + " " + reply.body();
    }
}
