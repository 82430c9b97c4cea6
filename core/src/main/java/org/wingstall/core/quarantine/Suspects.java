package org.wingstall.core.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.wingstall.schema.peer.CrashReport;

/** Evaluates the records and trials of suspects: what may be sent, and what a loss is blamed on. Not thread-safe. */
final class Suspects {
    /** Retry hint while the same suspect is on trial elsewhere, in ms. */
    private static final long TRIAL_RETRY_AFTER_MS = 1000;

    /**
     * Time after a second loss, or the end of a hold, in which requests with several suspected parts wait for requests
     * with one of them, whose trial tells which part it is, in ms.
     */
    private static final long SINGLE_TRIALS_MS = 2000;

    private final CrashRecordStore records;
    private final TrialTable trials;
    private final PartSurvivals survivals = new PartSurvivals();
    private final SuspicionRule requestRule = new RequestRule();
    private final PartRule partRule = new PartRule(survivals);

    Suspects(CrashRecordStore records, TrialTable trials) {
        this.records = records;
        this.trials = trials;
    }

    PartSurvivals survivals() {
        return survivals;
    }

    private SuspicionRule ruleOf(Fingerprint suspect) {
        return suspect.isPart() ? partRule : requestRule;
    }

    /** Returns the record of a suspect; of a part, without the losses that a more suspicious part explains. */
    private CrashRecord find(Fingerprint suspect, long nowMs) {
        CrashRecord record = records.find(suspect, nowMs);
        boolean explainable = suspect.isPart() && record.activeLossCount() > 0;
        return explainable ? record.without(records.lossesExplainedByParts(record, nowMs)) : record;
    }

    Optional<QuarantineRefusal> refusal(Fingerprint suspect, long nowMs) {
        return holdRefusal(suspect, nowMs).or(() -> trialRefusal(suspect, nowMs));
    }

    private Optional<QuarantineRefusal> holdRefusal(Fingerprint suspect, long nowMs) {
        CrashRecord record = find(suspect, nowMs);
        SuspicionRule rule = ruleOf(suspect);
        long remainingMs = rule.remainingHoldMs(record, nowMs);
        String detail = record.activeLossCount() + " endpoints ended while they ran " + rule.subject();
        return remainingMs == 0
                ? Optional.empty()
                : Optional.of(new QuarantineRefusal(rule.holdReason(), detail, remainingMs));
    }

    private Optional<QuarantineRefusal> trialRefusal(Fingerprint suspect, long nowMs) {
        SuspicionRule rule = ruleOf(suspect);
        if (!needsTrial(suspect, nowMs)) {
            return Optional.empty();
        }
        boolean early = nowMs < rule.trialFromMs(find(suspect, nowMs));
        boolean onTrial = trials.remainingMs(suspect, nowMs).isPresent();
        return early || onTrial ? Optional.of(trialRefusal(rule, ", and one tries it first")) : Optional.empty();
    }

    private static QuarantineRefusal trialRefusal(SuspicionRule rule, String why) {
        String detail = "endpoints ended while they ran " + rule.subject() + why;
        return new QuarantineRefusal(rule.trialReason(), detail, TRIAL_RETRY_AFTER_MS);
    }

    /** Returns the refusal for a request with these parts, if one of them is held. */
    Optional<QuarantineRefusal> refusalOfHeldParts(List<Fingerprint> parts, long nowMs) {
        return first(parts, part -> distinguishes(part, parts, nowMs) ? Optional.empty() : holdRefusal(part, nowMs));
    }

    /** Returns the refusal for a request with these parts, if one of them must not be sent, or not with the others. */
    Optional<QuarantineRefusal> refusalOfParts(List<Fingerprint> parts, long nowMs) {
        return refusalOfHeldParts(parts, nowMs)
                .or(() -> first(parts, part -> trialRefusal(part, nowMs)))
                .or(() -> refusalOfSeveralSuspects(parts, nowMs));
    }

    private static Optional<QuarantineRefusal> first(
            List<Fingerprint> parts, Function<Fingerprint, Optional<QuarantineRefusal>> refusal) {
        return parts.stream().map(refusal).flatMap(Optional::stream).findFirst();
    }

    /**
     * Returns whether a trial of a request with these parts tells whether a held part crashes endpoints, or another one
     * that was lost with it each time.
     */
    private boolean distinguishes(Fingerprint part, List<Fingerprint> parts, long nowMs) {
        Set<String> losses = records.find(part, nowMs).activeLosses();
        return !losses.isEmpty()
                && records.heldPartsLostWith(losses, nowMs).stream().anyMatch(other -> !parts.contains(other));
    }

    private Optional<QuarantineRefusal> refusalOfSeveralSuspects(List<Fingerprint> parts, long nowMs) {
        List<CrashRecord> suspected = parts.stream()
                .filter(part -> needsTrial(part, nowMs))
                .map(part -> find(part, nowMs))
                .toList();
        boolean recent = suspected.stream()
                .filter(record -> record.activeLossCount() > 1)
                .anyMatch(record -> nowMs < partRule.sendableAtMs(record) + SINGLE_TRIALS_MS);
        return suspected.size() > 1 && recent
                ? Optional.of(trialRefusal(partRule, ", and others with one such part are tried first"))
                : Optional.empty();
    }

    boolean needsTrial(Fingerprint suspect, long nowMs) {
        return ruleOf(suspect).needsTrial(suspect, find(suspect, nowMs), nowMs);
    }

    /** Returns reports that blame the loss of an endpoint on those parts of a lost request that were most suspicious. */
    List<CrashReport> blame(Fingerprint request, List<Fingerprint> parts, String endpoint, long sentAtMs, long nowMs) {
        int highest = parts.stream()
                .mapToInt(part -> suspicion(part, endpoint, nowMs))
                .max()
                .orElse(0);
        return parts.stream()
                .filter(part -> suspicion(part, endpoint, nowMs) == highest)
                .map(part -> blame(part, request, endpoint, sentAtMs, nowMs))
                .toList();
    }

    private CrashReport blame(Fingerprint part, Fingerprint request, String endpoint, long sentAtMs, long nowMs) {
        CrashRecord record = records.find(part, nowMs);
        return partRule.counts(find(part, nowMs), sentAtMs)
                ? record.nextLossReport(part, request, endpoint)
                : record.sameRoundReport(part, request, endpoint, nowMs);
    }

    /** Returns how suspicious a part is, apart from what other requests at the endpoint have brought on it. */
    private int suspicion(Fingerprint part, String endpoint, long nowMs) {
        int activeLosses = find(part, nowMs).without(Set.of(endpoint)).activeLossCount();
        int untried = survivals.recent(part, nowMs) ? 0 : 1;
        return activeLosses == 0 ? untried : 1 + activeLosses;
    }

    /** Returns how many requests, or parts of prompts, are held. */
    int heldCount(boolean parts, long nowMs) {
        return (int) records.suspects().stream()
                .filter(suspect -> suspect.isPart() == parts)
                .filter(suspect -> ruleOf(suspect).remainingHoldMs(find(suspect, nowMs), nowMs) > 0)
                .count();
    }
}
