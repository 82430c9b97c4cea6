package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.relay.CutHeadEndpoint.Cut;
import org.wingstall.it.relay.CutHeadEndpoint.End;
import org.wingstall.it.relay.CutHeadEndpoint.Framing;
import org.wingstall.it.relay.CutHeadEndpoint.Which;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.EndpointLinks;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;

/** Callers got an answer that its endpoint had cut inside the head as a whole one. */
public class RelayCutAnswerHeadTest {
    private static final int ENDPOINT_LOST = 502;

    /** Tries of a request until an endpoint in backoff after its failures takes it. */
    private static final int TRIES = 500;

    private static final String ANY_ID = "id-0000000";

    private final Map<String, CutHeadEndpoint> endpoints = new HashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private FleetStandin fleet;
    private RelayBox direct;
    private RelayBox tunnelled;

    /** A way of a request to an endpoint whose answer is cut. */
    enum Way {
        ONCE("once", "plain", Which.ANY),
        REPEATABLE("repeatable", "plain", Which.ANY),
        AFTER_INTERIM("once", "plain", Which.AFTER_INTERIM),
        KEPT_CONNECTION("repeatable", "plain", Which.ON_KEPT_CONNECTION),
        STREAM("stream", "engine", Which.ANY),
        RESUMABLE("resumable", "engine", Which.ANY),
        RESUMED("resumable", "engine", Which.RESUMED),
        STAGED("staged", "engine", Which.ANY),
        PIECES("staged", "first", Which.ANY),
        TUNNEL("once", "plain", Which.ANY),
        TUNNELLED_STREAM("stream", "engine", Which.ANY);

        private final String route;
        private final String service;
        private final Which which;

        Way(String route, String service, Which which) {
            this.route = route;
            this.service = service;
            this.which = which;
        }

        boolean tunnels() {
            return this == TUNNEL || this == TUNNELLED_STREAM;
        }
    }

    @BeforeClass
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
        for (String name : List.of("plain-1", "engine-1", "engine-2", "first-1", "second-1")) {
            String service = name.substring(0, name.indexOf('-'));
            CutHeadEndpoint endpoint = new CutHeadEndpoint(service);
            endpoints.put(name, endpoint);
            fleet.list(service, "east", name, endpoint.address(), "ready");
        }
        EndpointLinks links = fleet.linksOfOneBox();
        direct = box(fleet.settings("direct", "east"));
        tunnelled = box(fleet.settings("tunnelled", "east", links));
        Awaitility.await().until(() -> tunnelled.metrics().contains("wingstall_peers_heard 1.0"));
        links.cut(EndpointLinks.Cut.RESET);
    }

    /** Starts a box whose retry budget bears that each request is sent again. */
    private static RelayBox box(String settings) throws Exception {
        return new RelayBox(settings.replaceAll("retryBudgetRatio: .*", "retryBudgetRatio: 1")).awaitReady();
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        direct.close();
        tunnelled.close();
        for (CutHeadEndpoint endpoint : endpoints.values()) {
            endpoint.close();
        }
        fleet.close();
    }

    @DataProvider
    Object[][] ways() {
        return Stream.of(Way.values()).map(way -> new Object[] {way}).toArray(Object[][]::new);
    }

    /** Framings and ends take turns; {@code CutAnswerHeadTest} crosses them with each byte. */
    @Test(dataProvider = "ways")
    public void anAnswerCutInsideItsHeadIsNoSuccess(Way way) throws Exception {
        for (int bytes = 0; bytes < Framing.EVENTS.head(ANY_ID).length(); bytes++) {
            Cut cut = cutAfter(bytes, way);
            PartialAnswer answer = play(way, cut);
            String place = cut + ": " + answer;
            if (way == Way.RESUMED) {
                assertEquals(answer.status(), 200, place);
                assertTrue(!answer.whole() && answer.events().equals(List.of(1)), place);
            } else if (way == Way.PIECES) {
                assertNotEquals(answer.status(), 200, place);
            } else {
                assertEquals(answer.status(), ENDPOINT_LOST, place);
            }
        }
    }

    @DataProvider
    Object[][] ends() {
        return Stream.of(End.values()).map(end -> new Object[] {end}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "ends")
    public void aRequestCutInsideItsHeadIsNone(End end) throws Exception {
        CutHeadEndpoint endpoint = endpoints.get("plain-1");
        settle(Way.ONCE);
        int known = endpoint.ids().size();
        String head = RelayBox.rawHead("once", nextId());
        for (int bytes = 0; bytes < head.length(); bytes++) {
            try (Socket caller = direct.connect()) {
                caller.getOutputStream().write(head.substring(0, bytes).getBytes(StandardCharsets.US_ASCII));
                if (end == End.RESET) {
                    end.play(caller);
                } else {
                    caller.shutdownOutput();
                    String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                    assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 4"), bytes + " bytes: " + answer);
                }
            }
        }
        assertEquals(endpoint.ids().size(), known, "requests that the endpoint got");
    }

    /** Only framings whose head has more than so many bytes. */
    private static Cut cutAfter(int bytes, Way way) {
        List<Framing> framings = Stream.of(Framing.values())
                .filter(framing -> framing.head(ANY_ID).length() > bytes)
                .toList();
        End end = End.values()[bytes / framings.size() % End.values().length];
        return new Cut(way.which, framings.get(bytes % framings.size()), end, bytes);
    }

    /** All identifiers are of one length, so that all heads of a framing are. */
    private String nextId() {
        return "id-%07d".formatted(ids.incrementAndGet());
    }

    /** Sends requests until the answer to one is cut. */
    private PartialAnswer play(Way way, Cut cut) throws InterruptedException {
        for (int tries = 0; tries < TRIES; tries++) {
            settle(way);
            String id = nextId();
            cut(way, cut);
            PartialAnswer answer = send(way, id);
            if (endpoints.values().stream()
                    .anyMatch(endpoint -> endpoint.cutIds().contains(id))) {
                return answer;
            }
        }
        throw new AssertionError("no answer was cut: " + cut);
    }

    /** A whole answer ends the backoff of its endpoint. */
    private void settle(Way way) throws InterruptedException {
        endpoints.values().forEach(endpoint -> endpoint.cut(Cut.none(way.which)));
        for (int tries = 0; tries < TRIES; tries++) {
            PartialAnswer answer = send(way, nextId());
            if (answer.status() == 200 && answer.whole()) {
                return;
            }
            Pauses.backOff(1);
        }
        throw new AssertionError("no whole answer");
    }

    private void cut(Way way, Cut cut) {
        endpoints.forEach((name, endpoint) -> {
            if (name.startsWith(way.service)) {
                endpoint.cut(cut);
            }
        });
    }

    private PartialAnswer send(Way way, String id) throws InterruptedException {
        RelayBox box = way.tunnels() ? tunnelled : direct;
        return RelayBox.sendPartially(CallerRequests.withOwnPrompt(box.request(way.route, id), id)
                .setHeader("X-Wingstall-Piece-Key", id)
                .build());
    }
}
