package org.wingstall.core.quarantine;

import org.wingstall.core.answer.Reason;

/**
 * Holds back parts of prompts: after one loss they are tried, after three, of different requests, held.
 *
 * <p>An endpoint that ends makes suspects of the parts of everything that it ran, so a part is tried only if no endpoint
 * has answered it lately, or none does soon after the loss.
 */
final class PartRule implements SuspicionRule {
    /** Time for which a part is held after its third loss, in ms; a part that is held by mistake has to come back. */
    private static final long INITIAL_HOLD_MS = 10_000;

    /** Each further loss multiplies the hold by eight, up to one and a half hours. */
    private static final int GROWTH_SHIFT = 3;

    private static final int MAX_GROWTH_STEPS = 3;

    /**
     * Time after a loss in which requests that were sent before it end further endpoints, or are answered elsewhere and
     * clear their parts, in ms.
     */
    private static final long SETTLING_MS = 500;

    private final PartSurvivals survivals;

    PartRule(PartSurvivals survivals) {
        this.survivals = survivals;
    }

    @Override
    public long sendableAtMs(CrashRecord record) {
        int activeLosses = record.activeLossCount();
        if (activeLosses < Quarantine.QUARANTINE_THRESHOLD) {
            return record.lastLossAtMs();
        }
        int steps = Math.min(MAX_GROWTH_STEPS, activeLosses - Quarantine.QUARANTINE_THRESHOLD);
        return record.lastLossAtMs() + (INITIAL_HOLD_MS << (GROWTH_SHIFT * steps));
    }

    @Override
    public boolean needsTrial(Fingerprint suspect, CrashRecord record, long nowMs) {
        if (record.activeLossCount() == 0) {
            return false;
        }
        return nowMs >= trialFromMs(record) || !survivals.recent(suspect, nowMs);
    }

    @Override
    public long trialFromMs(CrashRecord record) {
        return record.lastLossAtMs() + SETTLING_MS;
    }

    /** Endpoints that end together, or soon after each other, may have one cause that is not this part. */
    boolean counts(CrashRecord record, long sentAtMs) {
        return record.activeLossCount() == 0 || sentAtMs >= trialFromMs(record);
    }

    @Override
    public Reason holdReason() {
        return Reason.PROMPT_PART_QUARANTINED;
    }

    @Override
    public Reason trialReason() {
        return Reason.PROMPT_PART_ON_TRIAL;
    }

    @Override
    public String subject() {
        return "requests with this part of a prompt";
    }
}
