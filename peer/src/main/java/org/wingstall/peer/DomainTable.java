package org.wingstall.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.wingstall.core.limit.DemandTotals;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.peer.DomainSummary;
import org.wingstall.schema.peer.Heartbeat;

/** What is known of other failure domains, by the newest summary of each. */
final class DomainTable {
    private static final int MOST_DEMANDS = 3;
    private static final int STALE_AFTER_SILENCES = 6;

    private final String own;
    private final long staleAfterMs;
    private final MonotonicClock clock;
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    private record Entry(DomainSummary summary, long madeAtMs, boolean direct) {}

    DomainTable(String own, long silentAfterMs, MonotonicClock clock) {
        this.own = own;
        this.staleAfterMs = STALE_AFTER_SILENCES * silentAfterMs;
        this.clock = clock;
    }

    /** Takes in summaries; those that came over a link to their own domain are passed on to peers. */
    void heard(List<DomainSummary> summaries, boolean direct) {
        if (summaries == null) {
            return;
        }
        for (DomainSummary summary : summaries) {
            long madeAtMs = clock.nowMs() - summary.getAgeMs();
            Entry before = entries.get(summary.getFailureDomain());
            boolean newer = before == null || before.madeAtMs() < madeAtMs;
            if (newer && !summary.getFailureDomain().equals(own)) {
                entries.put(summary.getFailureDomain(), new Entry(summary, madeAtMs, direct));
            }
        }
    }

    /** Returns the summaries that are not stale, with their ages. */
    List<DomainSummary> fresh() {
        return list(entry -> true);
    }

    /** Returns the fresh summaries that came over a link to their own domain. */
    List<DomainSummary> direct() {
        return list(Entry::direct);
    }

    private List<DomainSummary> list(Predicate<Entry> wanted) {
        List<DomainSummary> summaries = new ArrayList<>();
        for (Entry entry : entries.values()) {
            long ageMs = clock.nowMs() - entry.madeAtMs();
            if (ageMs <= staleAfterMs && wanted.test(entry)) {
                DomainSummary summary = entry.summary();
                summaries.add(new DomainSummary(
                        summary.getFailureDomain(),
                        summary.getLowestRevision(),
                        summary.getBoxes(),
                        ageMs,
                        summary.getDemand()));
            }
        }
        return summaries;
    }

    /** Sums up this failure domain for the others. */
    DomainSummary summarize(Heartbeat self, List<PeerState> peers, Predicate<PeerState> heard) {
        long lowest = self.getRevision();
        int boxes = 1;
        DemandTotals demand = new DemandTotals();
        demand.add(self.getDemand());
        for (PeerState peer : peers) {
            if (heard.test(peer)) {
                lowest = Math.min(lowest, peer.revision());
                boxes++;
                demand.add(peer.demand());
            }
        }
        return new DomainSummary(own, lowest, boxes, 0, demand.busiest(MOST_DEMANDS));
    }
}
