package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.EndpointLinks;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.StutteringEndpoint;
import org.wingstall.standin.fleet.StutteringEndpoint.Answer;
import org.wingstall.standin.fleet.StutteringEndpoint.Body;

/** Callers got a success with the signature of an answer that was a failure. */
public class RelaySuccessAfterFailureTest {
    private static final int CALLERS = 6;
    private static final int REQUESTS_OF_A_CALLER = 50;
    private static final String SIGNATURE = "X-Wingstall-Response-Seal";

    /** Way of a box to the endpoints. */
    enum Way {
        DIRECT,
        BY_OTHER_BOX
    }

    @DataProvider
    Object[][] fleets() {
        List<Object[]> cases = new ArrayList<>();
        for (int endpoints = 1; endpoints <= 3; endpoints++) {
            cases.add(new Object[] {"repeatable", Body.TEXT, endpoints, Way.DIRECT, 10 + endpoints});
            cases.add(new Object[] {"repeatable", Body.CHUNKED_TEXT, endpoints, Way.DIRECT, 20 + endpoints});
            cases.add(new Object[] {"resumable", Body.EVENTS, endpoints, Way.DIRECT, 30 + endpoints});
            cases.add(new Object[] {"once", Body.TEXT, endpoints, Way.DIRECT, 40 + endpoints});
            cases.add(new Object[] {"stream", Body.EVENTS, endpoints, Way.DIRECT, 50 + endpoints});
            cases.add(new Object[] {"repeatable", Body.TEXT, endpoints, Way.BY_OTHER_BOX, 60 + endpoints});
        }
        return cases.toArray(new Object[0][]);
    }

    @Test(dataProvider = "fleets")
    public void aCallerGetsTheStatusThatItsEndpointGave(String route, Body body, int count, Way way, long seed)
            throws Exception {
        String service = body == Body.EVENTS ? "engine" : "plain";
        List<StutteringEndpoint> endpoints = IntStream.rangeClosed(1, count)
                .mapToObj(number -> new StutteringEndpoint("p" + number, body, seed + 100 * number))
                .toList();
        try (FleetStandin fleet = new FleetStandin()) {
            fleet.configure(1, 2000);
            for (int i = 0; i < count; i++) {
                fleet.list(service, "east", "p" + (i + 1), endpoints.get(i).start(), "ready");
            }
            EndpointLinks links = fleet.linksOfOneBox();
            try (RelayBox other = new RelayBox(fleet, "other").awaitReady();
                    RelayBox box = new RelayBox(fleet, "box", links).awaitReady()) {
                if (way == Way.BY_OTHER_BOX) {
                    links.cut(EndpointLinks.Cut.RESET);
                    Awaitility.await().until(() -> reachesAnEndpoint(box, route));
                }
                check(send(way == Way.DIRECT ? other : box, route, endpoints), endpoints);
            }
        } finally {
            for (StutteringEndpoint endpoint : endpoints) {
                endpoint.close();
            }
        }
    }

    /** Until the box has found the way by the other one, requests end without having met an endpoint. */
    private static boolean reachesAnEndpoint(RelayBox box, String route) {
        try {
            return box.post(route, "probe-" + System.nanoTime()).header(SIGNATURE) != null;
        } catch (CompletionException e) {
            return false;
        }
    }

    private static void check(List<String> wrong, List<StutteringEndpoint> endpoints) {
        assertEquals(String.join("\n", wrong), "");
        assertTrue(
                endpoints.stream().mapToInt(StutteringEndpoint::surplusAnswers).sum() > 0);
    }

    /** Returns the replies that are not the first answer of an endpoint to their request. */
    private static List<String> send(RelayBox box, String route, List<StutteringEndpoint> endpoints) {
        List<CompletableFuture<List<String>>> callers = IntStream.range(0, CALLERS)
                .mapToObj(caller -> CompletableFuture.supplyAsync(() -> sendAll(box, route, caller, endpoints)))
                .toList();
        return callers.stream().flatMap(each -> each.join().stream()).toList();
    }

    private static List<String> sendAll(RelayBox box, String route, int caller, List<StutteringEndpoint> endpoints) {
        return IntStream.range(0, REQUESTS_OF_A_CALLER)
                .mapToObj(number -> "request-" + caller + "-" + number)
                .flatMap(id -> difference(box, route, id, endpoints).stream())
                .toList();
    }

    private static Optional<String> difference(
            RelayBox box, String route, String id, List<StutteringEndpoint> endpoints) {
        RelayBox.Reply reply;
        try {
            reply = box.post(route, id);
        } catch (CompletionException e) {
            // No whole answer.
            return Optional.empty();
        }
        String signature = reply.header(SIGNATURE);
        boolean success = reply.status() / 100 == 2;
        if (signature == null) {
            return success ? Optional.of(id + ": success without signature") : Optional.empty();
        }
        Optional<Answer> sent = endpoints.stream()
                .flatMap(
                        endpoint -> Stream.ofNullable(endpoint.answer(signature).orElse(null)))
                .findFirst();
        Answer got = new Answer(id, 1, reply.status(), reply.body());
        return sent.filter(got::equals).isPresent()
                ? Optional.empty()
                : Optional.of("got " + got + ", but " + signature + " is " + sent);
    }
}
