package org.wingstall.relay.run;

import java.util.Optional;
import java.util.Set;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.core.quarantine.RequestQuarantine;
import org.wingstall.net.http.BodyEnd;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.log.EndpointLoss;
import org.wingstall.relay.log.RequestLog;

/** Reports the attempts of one request to the quarantine and the log. Confined to the request loop. */
final class RunQuarantine {
    private final RequestQuarantine request;
    private final RequestLog log;
    private final RequestLogEntry record;

    RunQuarantine(RelayContext context, RequestLogEntry record) {
        this.request = new RequestQuarantine(context.quarantine(), record::fingerprint);
        this.log = context.log();
        this.record = record;
    }

    Optional<QuarantineRefusal> refusal() {
        return request.refusal();
    }

    Set<String> endpointsToAvoid() {
        return request.endpointsToAvoid();
    }

    void sent(RelayEndpoint endpoint) {
        request.sent(endpoint.key());
    }

    /** An endpoint that ends closes its connections; an unresponsive one may be cut off, which is no evidence of a crash. */
    void endpointLost(EndpointLoss loss, long sentAtMs) {
        log.logEndpointLoss(record, loss);
        if (loss.failure().closedByPeer()) {
            request.endpointLost(loss.endpoint().key(), sentAtMs);
        }
    }

    void streamEnded(BodyEnd end, EventStreamParser progress) {
        log.recordStreamEnd(record, end, progress.events(), progress.unfinishedBytes());
    }

    void endpointAnswered(RelayEndpoint endpoint, long sentAtMs) {
        request.endpointAnswered(endpoint.key(), sentAtMs);
    }

    void answered(RelayEndpoint endpoint, long sentAtMs, boolean success) {
        request.answered(endpoint.key(), sentAtMs, success);
    }

    void endTrial() {
        request.endTrial();
    }
}
