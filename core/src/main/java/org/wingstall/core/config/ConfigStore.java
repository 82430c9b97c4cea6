package org.wingstall.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.wingstall.schema.table.ConfigCell;
import org.wingstall.schema.table.ConfigChange;

/**
 * Holds the configuration in force; readers see an immutable snapshot that is swapped, and a revision never goes down.
 *
 * <p>{@code store.offerDelta(changes); PipelineRow row = store.current().pipeline("menu-plan").orElseThrow();}
 *
 * @since 0.1
 */
public final class ConfigStore {
    private static final int MAX_RETAINED_CHANGES = 512;

    private final AtomicReference<State> state = new AtomicReference<>(new State(ConfigSnapshot.EMPTY, List.of()));
    private final ConfigSnapshot.RejectedRowListener rejectedRowListener;

    private record State(ConfigSnapshot snapshot, List<ConfigChange> recentChanges) {}

    /**
     * Creates a store with no configuration.
     *
     * @param rejected told of rows that are not valid and were left as they were
     */
    public ConfigStore(ConfigSnapshot.RejectedRowListener rejectedRowListener) {
        this.rejectedRowListener = rejectedRowListener;
    }

    /** Returns the configuration in force. */
    public ConfigSnapshot current() {
        return state.get().snapshot();
    }

    /**
     * Applies changes that follow on the revision in force; older ones are passed over.
     *
     * @param changes changes in the order of their revisions
     * @return false if a revision is missing between the one in force and the first newer change
     */
    public synchronized boolean offerDelta(List<ConfigChange> changes) {
        for (ConfigChange change : changes) {
            long revision = current().revision();
            if (change.getRevision() <= revision) {
                continue;
            }
            if (change.getRevision() != revision + 1) {
                return false;
            }
            apply(change);
        }
        return true;
    }

    /**
     * Replaces the whole configuration if the offered one is newer.
     *
     * @param revision revision of the cells
     * @param cells every row
     * @return whether the offered configuration is now in force
     */
    public synchronized boolean offerComplete(long revision, List<ConfigCell> cells) {
        if (revision <= current().revision()) {
            return false;
        }
        state.set(new State(ConfigSnapshot.EMPTY.withChanges(revision, cells, rejectedRowListener), List.of()));
        return true;
    }

    /**
     * Returns what a reader at a revision lacks, if it is still remembered change by change.
     *
     * @param revision the reader's revision
     * @return the changed rows, or empty when only the whole configuration will do
     */
    public Optional<List<ConfigCell>> cellsAfter(long revision) {
        State current = state.get();
        long oldestRetained =
                current.snapshot().revision() - current.recentChanges().size();
        if (revision < oldestRetained) {
            return Optional.empty();
        }
        List<ConfigCell> cells = new ArrayList<>();
        for (ConfigChange change : current.recentChanges()) {
            if (change.getRevision() > revision) {
                cells.addAll(change.getChanges());
            }
        }
        return Optional.of(cells);
    }

    /**
     * Applies a peer's delta from the revision in force to the peer's own.
     *
     * @param fromRevision revision that the delta starts after
     * @param toRevision the peer's revision
     * @param cells the changed rows
     * @return whether the delta is now in force
     */
    public synchronized boolean offerPeerDelta(long fromRevision, long toRevision, List<ConfigCell> cells) {
        ConfigSnapshot now = current();
        if (now.revision() != fromRevision || toRevision <= fromRevision) {
            return false;
        }
        state.set(new State(now.withChanges(toRevision, cells, rejectedRowListener), List.of()));
        return true;
    }

    private void apply(ConfigChange change) {
        State current = state.get();
        ConfigSnapshot next =
                current.snapshot().withChanges(change.getRevision(), change.getChanges(), rejectedRowListener);
        List<ConfigChange> recentChanges = new ArrayList<>(current.recentChanges());
        recentChanges.add(change);
        int surplus = recentChanges.size() - MAX_RETAINED_CHANGES;
        List<ConfigChange> retained =
                surplus > 0 ? recentChanges.subList(surplus, recentChanges.size()) : recentChanges;
        state.set(new State(next, List.copyOf(retained)));
    }
}
