package org.wingstall.core.quarantine;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * What a quarantine says of one request, and is told of its sendings. Confined to the request's event loop.
 *
 * <p>{@code guard.hold().ifPresent(this::refuse); guard.sent("i-7f3a@0"); ... guard.lost("i-7f3a@0");}
 *
 * @since 0.7
 */
public final class RequestQuarantine {
    private final Quarantine quarantine;
    private final Supplier<Fingerprint> request;
    private Optional<String> trial = Optional.empty();

    /**
     * Creates a guard.
     *
     * @param quarantine the quarantine
     * @param request gives the request's fingerprint, asked for only while something is suspected
     */
    public RequestQuarantine(Quarantine quarantine, Supplier<Fingerprint> request) {
        this.quarantine = quarantine;
        this.request = request;
    }

    /** Returns why the request is not to be sent now, or sent once more after its last sending ended. */
    public Optional<QuarantineRefusal> refusal() {
        endTrial();
        return quarantine.refusal(request);
    }

    /** Returns the incarnations that it had better not go to. */
    public Set<String> endpointsToAvoid() {
        return quarantine.endpointsToAvoid(request);
    }

    /** Records that it is sent to an incarnation. */
    public void sent(String endpoint) {
        trial = quarantine.sent(request, endpoint);
    }

    /** Records that the connection to an incarnation ended while it may have run the request. */
    public void endpointLost(String endpoint) {
        quarantine.endpointLost(request.get(), endpoint);
    }

    /** Records a whole answer to what was sent at a time, in ms of the monotonic clock. */
    public void answered(String endpoint, long sentAtMs, boolean success) {
        quarantine.answered(request, endpoint, sentAtMs, success);
    }

    /** Records that its last sending has ended, in whatever way. */
    public void endTrial() {
        trial.ifPresent(id -> quarantine.endTrial(request.get(), id));
        trial = Optional.empty();
    }
}
