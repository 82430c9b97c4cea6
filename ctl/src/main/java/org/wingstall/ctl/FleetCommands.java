package org.wingstall.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.HttpReply;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.operator.FleetStatus;
import org.wingstall.schema.operator.OrderStatus;
import org.wingstall.schema.operator.PeerStatus;
import org.wingstall.schema.peer.DomainSummary;

/** The commands that ask a gateway. */
final class FleetCommands {
    private static final int NOT_FOUND = 404;

    private final Namespace options;
    private final HttpClient client;
    private final EventLoop loop;
    private final InetSocketAddress gateway;
    private final long timeoutMs;

    FleetCommands(Namespace options, HttpClient client, EventLoop loop, InetSocketAddress gateway, long timeoutMs) {
        this.options = options;
        this.client = client;
        this.loop = loop;
        this.gateway = gateway;
        this.timeoutMs = timeoutMs;
    }

    private HttpReply get(String path) throws UnreachableException, NotFoundException, InterruptedException {
        try {
            HttpReply reply = client.call(loop, OutgoingRequest.get(gateway, path), timeoutMs)
                    .get();
            if (reply.status() == NOT_FOUND) {
                throw new NotFoundException(new String(reply.body()).strip());
            }
            return reply;
        } catch (ExecutionException e) {
            String where = gateway.getHostString() + ":" + gateway.getPort();
            throw new UnreachableException(
                    "gateway " + where + ": " + e.getCause().getMessage());
        }
    }

    /** Prints a document as it came when that is asked for; returns whether it was. */
    private boolean printedAsJson(Object document, PrintStream out) {
        boolean json = options.getString("format").equals("json");
        if (json) {
            out.println(Json.writeText(document));
        }
        return json;
    }

    void status(PrintStream out)
            throws UnreachableException, NotFoundException, InvalidDocumentException, InterruptedException {
        FleetStatus status = Json.read(get("/v1/fleet").body(), FleetStatus.class);
        if (printedAsJson(status, out)) {
            return;
        }
        String ready = status.isReady() ? "ready" : "not ready, " + status.getNotReadyReason();
        String heard = status.getPlatformHeardAgeMs() < 0
                ? "never heard"
                : "heard " + status.getPlatformHeardAgeMs() + " ms ago";
        out.println(status.getBoxId() + " in " + status.getFailureDomain() + ": " + ready + ", revision "
                + status.getRevision() + ", platform " + heard);
        RowPrinter printer = RowPrinter.of(options.getString("format"), out);
        printer.rows("domain", domains(status));
        printer.rows("peer", status.getPeers().stream().map(Json::toTree).toList());
        printer.rows(
                "endpoint", status.getEndpoints().stream().map(Json::toTree).toList());
    }

    void engines(PrintStream out)
            throws UnreachableException, NotFoundException, InvalidDocumentException, InterruptedException {
        OrderStatus status = Json.read(get("/v1/engines").body(), OrderStatus.class);
        if (printedAsJson(status, out)) {
            return;
        }
        out.println(
                status.isHolds()
                        ? "holds the lease with token " + status.getToken() + " for " + status.getLeftMs() + " ms"
                        : "does not hold the lease; ask the other gateways of its failure domain");
        RowPrinter.of(options.getString("format"), out)
                .rows("engine", status.getEngines().stream().map(Json::toTree).toList());
    }

    private static List<JsonNode> domains(FleetStatus status) {
        List<JsonNode> rows = new ArrayList<>();
        long lowest = status.getRevision();
        int boxes = 1;
        for (PeerStatus peer : status.getPeers()) {
            boolean counts = peer.isHeard() && peer.getFailureDomain().equals(status.getFailureDomain());
            lowest = counts ? Math.min(lowest, peer.getRevision()) : lowest;
            boxes += counts ? 1 : 0;
        }
        rows.add(domain(status.getFailureDomain(), lowest, boxes, 0));
        for (DomainSummary domain : status.getDomains()) {
            rows.add(domain(
                    domain.getFailureDomain(), domain.getLowestRevision(), domain.getBoxes(), domain.getAgeMs()));
        }
        return rows;
    }

    private static JsonNode domain(String name, long lowestRevision, int boxes, long ageMs) {
        return Json.MAPPER
                .createObjectNode()
                .put("failureDomain", name)
                .put("lowestRevision", lowestRevision)
                .put("boxesHeard", boxes)
                .put("ageMs", ageMs);
    }

    void request(PrintStream out)
            throws UnreachableException, NotFoundException, InvalidDocumentException, InterruptedException {
        Answer answer = Json.read(get("/v1/requests/" + options.getString("id")).body(), Answer.class);
        if (printedAsJson(answer, out)) {
            return;
        }
        String reason = answer.getReason() == null ? "" : ", " + answer.getReason() + ": " + answer.getDetail();
        out.println(answer.getRequestId() + ": " + answer.getOutcome().value() + reason);
        RowPrinter.of(options.getString("format"), out)
                .rows("stage", answer.getStages().stream().map(Json::toTree).toList());
    }
}
