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
    private static final int REMEMBERED_CHANGES = 512;

    private final AtomicReference<State> state = new AtomicReference<>(new State(ConfigSnapshot.EMPTY, List.of()));
    private final ConfigSnapshot.RejectedRows rejected;

    private record State(ConfigSnapshot snapshot, List<ConfigChange> recent) {}

    /**
     * Creates a store with no configuration.
     *
     * @param rejected told of rows that are not valid and were left as they were
     */
    public ConfigStore(ConfigSnapshot.RejectedRows rejected) {
        this.rejected = rejected;
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
        state.set(new State(ConfigSnapshot.EMPTY.with(revision, cells, rejected), List.of()));
        return true;
    }

    /**
     * Returns what a reader at a revision lacks, if it is still remembered change by change.
     *
     * @param revision the reader's revision
     * @return the changed rows, or empty when only the whole configuration will do
     */
    public Optional<List<ConfigCell>> cellsAfter(long revision) {
        State now = state.get();
        long remembered = now.snapshot().revision() - now.recent().size();
        if (revision < remembered) {
            return Optional.empty();
        }
        List<ConfigCell> cells = new ArrayList<>();
        for (ConfigChange change : now.recent()) {
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
        state.set(new State(now.with(toRevision, cells, rejected), List.of()));
        return true;
    }

    private void apply(ConfigChange change) {
        State now = state.get();
        ConfigSnapshot next = now.snapshot().with(change.getRevision(), change.getChanges(), rejected);
        List<ConfigChange> recent = new ArrayList<>(now.recent());
        recent.add(change);
        int surplus = recent.size() - REMEMBERED_CHANGES;
        List<ConfigChange> kept = surplus > 0 ? recent.subList(surplus, recent.size()) : recent;
        state.set(new State(next, List.copyOf(kept)));
    }
}
