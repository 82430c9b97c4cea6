package org.wingstall.relay.run;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wingstall.core.quarantine.Fingerprint;
import org.wingstall.core.quarantine.PromptQuarantine;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.core.quarantine.RequestQuarantine;
import org.wingstall.net.http.BodyEnd;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.log.EndpointLoss;
import org.wingstall.relay.log.RequestLog;
import org.wingstall.relay.wire.RelayRequest;
import org.wingstall.relay.wire.RelayRequest.PromptPart;

/** Reports the attempts of one request to the quarantine and the log. Confined to the request loop. */
final class RunQuarantine {
    private final RequestQuarantine request;
    private final PromptQuarantine prompt;
    private final RequestLog log;
    private final RequestLogEntry record;

    RunQuarantine(RelayContext context, RequestLogEntry record, String service, RelayRequest sent) {
        this.request = new RequestQuarantine(context.quarantine(), record::fingerprint);
        this.prompt = new PromptQuarantine(context.quarantine(), record::fingerprint, sharedParts(service, sent));
        this.log = context.log();
        this.record = record;
    }

    private static List<Fingerprint> sharedParts(String service, RelayRequest sent) {
        List<PromptPart> parts = sent.sharedParts();
        List<Fingerprint> fingerprints = new ArrayList<>(parts.size());
        for (PromptPart part : parts) {
            fingerprints.add(Fingerprint.ofPart(service, sent.model(), part.id()));
        }
        return fingerprints;
    }

    Optional<QuarantineRefusal> refusal() {
        Optional<QuarantineRefusal> refusal = request.refusal();
        return refusal.isPresent() ? refusal : prompt.refusal();
    }

    Set<String> endpointsToAvoid() {
        return request.endpointsToAvoid();
    }

    void sent(RelayEndpoint endpoint) {
        request.sent(endpoint.key());
        prompt.sent(endpoint.key());
    }

    /** An endpoint that ends closes its connections; an unresponsive one may be cut off, which is no evidence of a crash. */
    void endpointLost(EndpointLoss loss, long sentAtMs) {
        log.logEndpointLoss(record, loss);
        if (loss.failure().closedByPeer()) {
            request.endpointLost(prompt, loss.endpoint().key(), sentAtMs);
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
        if (success) {
            prompt.survived();
        }
    }

    /** Records that the endpoint goes on with a stream whose head came so many ms ago. */
    void streamContinues(long headMsAgo) {
        if (headMsAgo >= PromptQuarantine.SURVIVED_MS) {
            prompt.survived();
        }
    }

    void endTrial() {
        request.endTrial();
        prompt.endTrials();
    }
}
