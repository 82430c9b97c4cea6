package org.wingstall.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.wingstall.schema.table.ConfigCell;
import org.wingstall.schema.table.ConfigChange;

/**
 * Holds the current configuration as an immutable snapshot that is replaced atomically; its revision never decreases.
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
     * Creates an empty store.
     *
     * @param rejectedRowListener notified of invalid rows, which keep their previous values
     */
    public ConfigStore(ConfigSnapshot.RejectedRowListener rejectedRowListener) {
        this.rejectedRowListener = rejectedRowListener;
    }

    /** Returns the current configuration. */
    public ConfigSnapshot current() {
        return state.get().snapshot();
    }

    /**
     * Applies changes that directly follow the current revision; older ones are ignored.
     *
     * @param changes changes, ordered by revision
     * @return false if a revision is missing between the current one and the first newer change
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
     * Replaces the whole configuration if the given one is newer.
     *
     * @param revision revision of the rows
     * @param cells all rows
     * @return whether the given configuration was applied
     */
    public synchronized boolean offerComplete(long revision, List<ConfigCell> cells) {
        if (revision <= current().revision()) {
            return false;
        }
        state.set(new State(ConfigSnapshot.EMPTY.withChanges(revision, cells, rejectedRowListener), List.of()));
        return true;
    }

    /**
     * Returns the rows changed since a revision, if the changes since then are still retained.
     *
     * @param revision the reader's revision
     * @return the changed rows, or empty if the reader needs the whole configuration
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
     * Applies a delta from a peer that leads from the current revision to the peer's revision.
     *
     * @param fromRevision revision that the delta starts after
     * @param toRevision the peer's revision
     * @param cells the changed rows
     * @return whether the delta was applied
     */
    public synchronized boolean offerPeerDelta(long fromRevision, long toRevision, List<ConfigCell> cells) {
        ConfigSnapshot current = current();
        if (current.revision() != fromRevision || toRevision <= fromRevision) {
            return false;
        }
        state.set(new State(current.withChanges(toRevision, cells, rejectedRowListener), List.of()));
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
