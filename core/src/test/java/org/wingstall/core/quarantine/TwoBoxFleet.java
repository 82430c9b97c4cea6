package org.wingstall.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.answer.Reason;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;

/** Two boxes with a link that can be disconnected, and a clock that tests set. */
final class TwoBoxFleet {
    final Box first = new Box("first");
    final Box second = new Box("second");
    long nowMs = 1000;
    boolean disconnected;

    private Box other(Box box) {
        return box == first ? second : first;
    }

    final class Box implements Quarantine.Listener {
        final String name;
        final List<CrashReport> persisted = new ArrayList<>();
        final List<CrashNews> broadcasts = new ArrayList<>();
        final Quarantine quarantine;
        int lossesAfterEnd;

        Box(String name) {
            this.name = name;
            this.quarantine = new Quarantine(name, () -> TimeUnit.MILLISECONDS.toNanos(nowMs), this);
        }

        @Override
        public void broadcast(CrashNews news, String exceptBox) {
            broadcasts.add(news);
            Box other = other(this);
            if (!disconnected && !other.name.equals(exceptBox)) {
                other.quarantine.receive(name, news);
            }
        }

        @Override
        public void persist(CrashReport report) {
            persisted.add(report);
        }

        @Override
        public void changed(CrashReport report, int activeLosses) {}

        @Override
        public void lossReported(String endpoint) {}

        @Override
        public void lostAfterEnd(String endpoint, int requests) {
            lossesAfterEnd += requests;
        }

        void lost(Fingerprint request, String... endpoints) {
            for (String endpoint : endpoints) {
                lostAsSentAt(nowMs, request, endpoint);
            }
        }

        void lostAsSentAt(long sentAtMs, Fingerprint request, String... endpoints) {
            for (String endpoint : endpoints) {
                quarantine.endpointLost(List.of(request), endpoint, sentAtMs);
            }
        }

        void succeeded(Fingerprint request, String endpoint) {
            quarantine.answered(() -> request, endpoint, nowMs, true);
        }

        Reason reason(Fingerprint request) {
            return quarantine
                    .refusal(() -> request)
                    .map(QuarantineRefusal::reason)
                    .orElse(null);
        }

        Optional<String> sent(Fingerprint request, String endpoint) {
            return quarantine.sent(() -> request, endpoint);
        }
    }
}
