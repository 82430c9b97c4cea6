package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.EndpointLinks;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;

/** Callers got bytes that are no answer as one: status 000, or a header whose name holds a blank. */
public class RelayMalformedAnswerTest {
    private static final String OK_LINE = "HTTP/1.1 200 OK";

    /** Tries of a request until an endpoint in backoff after its failures takes it. */
    private static final int TRIES = 500;

    private final List<CutHeadEndpoint> endpoints = new ArrayList<>();
    private FleetStandin fleet;
    private RelayBox direct;
    private RelayBox tunnelled;
    private int ids;

    /** What is wrong with the head of an answer. */
    enum Fault {
        STATUS_ZERO(answer -> answer.replace(OK_LINE, "HTTP/1.1 000 OK")),
        STATUS_WITHOUT_REASON(answer -> answer.replace(OK_LINE, "HTTP/1.1 000")),
        STATUS_TOO_LONG(answer -> answer.replace(OK_LINE, "HTTP/1.1 1000 OK")),
        SIGNED_STATUS(answer -> answer.replace(OK_LINE, "HTTP/1.1 +200 OK")),
        BLANK_IN_NAME(answer -> answer.replace("\r\nX-", "\r\nBad Name: x\r\nX-")),
        TAB_IN_NAME(answer -> answer.replace("\r\nX-", "\r\nBad\tName: x\r\nX-")),
        CONTROL_BYTE_IN_NAME(answer -> answer.replace("\r\nX-", "\r\nBad\u0001Name: x\r\nX-")),
        FOLDED_LINE(answer -> answer.replace("\r\nX-", "\r\n folded: x\r\nX-")),
        BLANK_BEHIND_LENGTH(answer -> answer.replaceAll("(Content-Length|Transfer-Encoding):.*", "Content-Length : 3"));

        private final UnaryOperator<String> edit;

        Fault(UnaryOperator<String> edit) {
            this.edit = edit;
        }
    }

    @BeforeClass
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
        for (String service : List.of("plain", "engine", "first", "second")) {
            CutHeadEndpoint endpoint = new CutHeadEndpoint(service);
            endpoints.add(endpoint);
            fleet.list(service, "east", service + "-1", endpoint.address(), "ready");
        }
        EndpointLinks links = fleet.linksOfOneBox();
        direct = new RelayBox(fleet, "direct").awaitReady();
        tunnelled = new RelayBox(fleet, "tunnelled", links).awaitReady();
        Awaitility.await().until(() -> tunnelled.metrics().contains("wingstall_peers_heard 1.0"));
        links.cut(EndpointLinks.Cut.RESET);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        direct.close();
        tunnelled.close();
        for (CutHeadEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        fleet.close();
    }

    @DataProvider
    Object[][] cases() {
        List<Object[]> rows = new ArrayList<>();
        for (String route : List.of("once", "repeatable", "stream", "resumable", "staged")) {
            for (Fault fault : Fault.values()) {
                rows.add(new Object[] {route, fault, false});
                rows.add(new Object[] {route, fault, true});
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "cases")
    public void aMalformedAnswerIsNone(String route, Fault fault, boolean tunnel) throws Exception {
        RelayBox box = tunnel ? tunnelled : direct;
        settle(box, route);
        endpoints.forEach(endpoint -> endpoint.edit(fault.edit));
        PartialAnswer answer = send(box, route);
        assertTrue(answer.status() == 502 || route.equals("staged") && answer.status() == 503, String.valueOf(answer));
    }

    /** A whole answer ends the backoff of its endpoint. */
    private void settle(RelayBox box, String route) throws InterruptedException {
        endpoints.forEach(endpoint -> endpoint.edit(UnaryOperator.identity()));
        int status = 0;
        for (int tries = 0; tries < TRIES && status != 200; tries++) {
            status = send(box, route).status();
            Pauses.backOff(1);
        }
        assertEquals(status, 200, "a sound answer");
    }

    private PartialAnswer send(RelayBox box, String route) throws InterruptedException {
        String id = "id-%07d".formatted(++ids);
        return RelayBox.sendPartially(CallerRequests.withOwnPrompt(box.request(route, id), id)
                .setHeader("X-Wingstall-Piece-Key", id)
                .build());
    }
}
