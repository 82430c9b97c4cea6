package org.wingstall.core.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Provides the quarantine's checks for the parts of one request's prompt that other requests may share. Confined to the
 * request's event loop.
 *
 * <p>A part may crash each endpoint that begins to answer a prompt with it, while no two of these requests are alike. An
 * endpoint that ends makes suspects of the parts of all requests that it had not answered for {@link #SURVIVED_MS}; any
 * endpoint that does answer a request with the part for that time clears it. A part without recent answers is tried after
 * one loss, on one endpoint at a time, and refused after three.
 *
 * <p>{@code prompt.refusal().ifPresent(this::refuse); prompt.sent("i-7f3a@0"); prompt.survived();}
 *
 * @since 0.17
 */
public final class PromptQuarantine {
    /** Time after the head of an answer from which the endpoint counts as having survived it, in ms. */
    public static final long SURVIVED_MS = 500;

    private final Quarantine quarantine;
    private final Supplier<Fingerprint> request;
    private final List<Fingerprint> parts;
    private final Map<Fingerprint, String> trials = new HashMap<>();
    private boolean survived;

    /**
     * Creates the quarantine view of one prompt.
     *
     * @param quarantine the quarantine
     * @param request supplies the request's fingerprint; called only while there are suspects or trials
     * @param parts the parts that other requests may share
     */
    public PromptQuarantine(Quarantine quarantine, Supplier<Fingerprint> request, List<Fingerprint> parts) {
        this.quarantine = quarantine;
        this.request = request;
        this.parts = parts.stream().distinct().toList();
    }

    /** Ends the trials of the previous attempt and returns the refusal if the request must not be sent now. */
    public Optional<QuarantineRefusal> refusal() {
        endTrials();
        return quarantine.refusalOfParts(request, parts);
    }

    /** Records that the request is sent to an endpoint incarnation. */
    public void sent(String endpoint) {
        survived = false;
        for (Fingerprint part : parts) {
            quarantine.sent(() -> part, endpoint).ifPresent(trial -> trials.put(part, trial));
        }
    }

    /** Records that the endpoint has answered for {@link #SURVIVED_MS}, or completely. */
    public void survived() {
        if (!survived) {
            survived = true;
            parts.forEach(quarantine::partSurvived);
            endTrials();
        }
    }

    /** Returns the parts that may have ended the endpoint of the last attempt. */
    List<Fingerprint> suspects() {
        return survived ? List.of() : parts;
    }

    /** Ends the trials of the last attempt, whatever its result. */
    public void endTrials() {
        trials.forEach(quarantine::endTrial);
        trials.clear();
    }
}
