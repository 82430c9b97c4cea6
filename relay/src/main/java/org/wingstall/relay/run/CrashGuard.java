package org.wingstall.relay.run;

import java.util.Optional;
import java.util.Set;
import org.wingstall.core.quarantine.GuardedRequest;
import org.wingstall.core.quarantine.Hold;
import org.wingstall.net.http.TransportException;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.log.EndpointLoss;
import org.wingstall.relay.log.RequestLog;

/** Tells the quarantine and the log of one request's sendings. Confined to the request loop. */
final class CrashGuard {
    private final GuardedRequest request;
    private final RequestLog log;
    private final RunRecord record;

    CrashGuard(RelayParts parts, RunRecord record) {
        this.request = new GuardedRequest(parts.quarantine(), record::fingerprint);
        this.log = parts.log();
        this.record = record;
    }

    Optional<Hold> hold() {
        return request.hold();
    }

    Set<String> shunned() {
        return request.shunned();
    }

    void sent(RelayEndpoint endpoint) {
        request.sent(endpoint.key());
    }

    /** An endpoint that ends closes its connections; one that is silent may be cut off, and is no evidence. */
    void lost(EndpointLoss loss) {
        log.endpointLost(record, loss);
        if (loss.failure().kind() == TransportException.Kind.RESET) {
            request.lost(loss.endpoint().key());
        }
    }

    void answered(RelayEndpoint endpoint, long sentAtMs, boolean success) {
        request.answered(endpoint.key(), sentAtMs, success);
    }

    void over() {
        request.over();
    }
}
