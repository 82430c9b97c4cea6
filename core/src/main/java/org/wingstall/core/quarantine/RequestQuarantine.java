package org.wingstall.core.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Provides the quarantine's checks for one request and records what happens to each attempt at it. Confined to the
 * request's event loop.
 *
 * <p>{@code guard.refusal().ifPresent(this::refuse); guard.sent("i-7f3a@0"); guard.endpointLost("i-7f3a@0", sentAtMs);}
 *
 * @since 0.7
 */
public final class RequestQuarantine {
    private final Quarantine quarantine;
    private final Supplier<Fingerprint> request;
    private Optional<String> trial = Optional.empty();

    /**
     * Creates the quarantine view of one request.
     *
     * @param quarantine the quarantine
     * @param request supplies the request's fingerprint; called only while there are suspects or trials, or when an
     * endpoint is lost
     */
    public RequestQuarantine(Quarantine quarantine, Supplier<Fingerprint> request) {
        this.quarantine = quarantine;
        this.request = request;
    }

    /** Ends the trial of the previous attempt, if any, and returns the refusal if the request must not be sent now. */
    public Optional<QuarantineRefusal> refusal() {
        endTrial();
        return quarantine.refusal(request);
    }

    /** Returns the endpoint incarnations that the request should avoid. */
    public Set<String> endpointsToAvoid() {
        return quarantine.endpointsToAvoid(request);
    }

    /** Returns whether the request is so suspect that it is sent only as a trial. */
    public boolean needsTrial() {
        return quarantine.needsTrial(request);
    }

    /** Records that the request is sent to an endpoint incarnation. */
    public void sent(String endpoint) {
        trial = quarantine.sent(request, endpoint);
    }

    /**
     * Records that the connection to an endpoint incarnation ended while it may have been running the request as sent at
     * {@code sentAtMs}, in ms of the monotonic clock.
     */
    public void endpointLost(String endpoint, long sentAtMs) {
        quarantine.endpointLost(List.of(request.get()), endpoint, sentAtMs);
    }

    /** Records a loss as above, which the parts of the request's prompt may have caused as well. */
    public void endpointLost(PromptQuarantine prompt, String endpoint, long sentAtMs) {
        quarantine.endpointLost(request.get(), prompt.suspects(), endpoint, sentAtMs);
    }

    /** Records a response of any kind to the request as sent at {@code sentAtMs}, in ms of the monotonic clock. */
    public void endpointAnswered(String endpoint, long sentAtMs) {
        quarantine.endpointAnswered(endpoint, sentAtMs);
    }

    /** Records a complete response to the request as sent at {@code sentAtMs}, in ms of the monotonic clock. */
    public void answered(String endpoint, long sentAtMs, boolean success) {
        quarantine.answered(request, endpoint, sentAtMs, success);
    }

    /** Returns whether the last attempt is a trial that has not ended. */
    public boolean onTrial() {
        return trial.isPresent();
    }

    /** Ends the trial of the last attempt, if there is one, whatever its result. */
    public void endTrial() {
        trial.ifPresent(id -> quarantine.endTrial(request.get(), id));
        trial = Optional.empty();
    }
}
