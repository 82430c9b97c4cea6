package org.wingstall.relay.run;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.wingstall.core.quarantine.Fingerprint;
import org.wingstall.core.quarantine.Hold;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.net.http.TransportException;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.log.EndpointLoss;
import org.wingstall.relay.log.RequestLog;

/** What the quarantine says of one request, and is told of its sendings. Confined to the request loop. */
final class CrashGuard {
    private final Quarantine quarantine;
    private final RequestLog log;
    private final RunRecord record;
    private final Supplier<Fingerprint> request;
    private Optional<String> trial = Optional.empty();

    CrashGuard(RelayParts parts, RunRecord record) {
        this.quarantine = parts.quarantine();
        this.log = parts.log();
        this.record = record;
        this.request = record::fingerprint;
    }

    /** Returns why the request is not to be sent now, or sent once more after its last sending ended. */
    Optional<Hold> hold() {
        over();
        return quarantine.hold(request);
    }

    /** Returns the incarnations that it had better not go to. */
    Set<String> shunned() {
        return quarantine.shunned(request);
    }

    void sent(RelayEndpoint endpoint) {
        trial = quarantine.sent(request, endpoint.key());
    }

    /** An endpoint that ends closes its connections; one that is silent may be cut off, and is no evidence. */
    void lost(EndpointLoss loss) {
        log.endpointLost(record, loss);
        if (loss.failure().kind() == TransportException.Kind.RESET) {
            quarantine.lost(request.get(), loss.endpoint().key());
        }
    }

    void answered(RelayEndpoint endpoint, long sentAtMs, boolean success) {
        quarantine.answered(request, endpoint.key(), sentAtMs, success);
    }

    /** Takes note that its last sending has ended, in whatever way. */
    void over() {
        trial.ifPresent(id -> quarantine.over(request.get(), id));
        trial = Optional.empty();
    }
}
