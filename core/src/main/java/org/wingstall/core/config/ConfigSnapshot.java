package org.wingstall.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wingstall.schema.table.BoxClassRow;
import org.wingstall.schema.table.ConfigCell;
import org.wingstall.schema.table.EngineRow;
import org.wingstall.schema.table.PipelineRow;
import org.wingstall.schema.table.WorkspaceRow;

/**
 * Holds an immutable configuration at one revision.
 *
 * <p>{@code PipelineRow row = snapshot.pipeline("menu-plan").orElseThrow();}
 *
 * @since 0.1
 */
public final class ConfigSnapshot {
    /** The empty configuration of a gateway that has not received one yet. */
    public static final ConfigSnapshot EMPTY = new ConfigSnapshot(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    private final long revision;
    private final Map<String, JsonNode> cells;
    private final Map<String, PipelineRow> pipelines;
    private final Map<String, WorkspaceRow> workspaces;
    private final Map<String, BoxClassRow> boxClasses;
    private final Map<String, EngineRow> engines;

    private ConfigSnapshot(
            long revision,
            Map<String, JsonNode> cells,
            Map<String, PipelineRow> pipelines,
            Map<String, WorkspaceRow> workspaces,
            Map<String, BoxClassRow> boxClasses,
            Map<String, EngineRow> engines) {
        this.revision = revision;
        this.cells = cells;
        this.pipelines = pipelines;
        this.workspaces = workspaces;
        this.boxClasses = boxClasses;
        this.engines = engines;
    }

    /** Returns the revision; 0 if there is no configuration. */
    public long revision() {
        return revision;
    }

    /** Returns the pipeline with the given name. */
    public Optional<PipelineRow> pipeline(String name) {
        return Optional.ofNullable(pipelines.get(name));
    }

    /** Returns the workspace with the given name. */
    public Optional<WorkspaceRow> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /** Returns the box class with the given name. */
    public Optional<BoxClassRow> boxClass(String name) {
        return Optional.ofNullable(boxClasses.get(name));
    }

    /** Returns all pipelines by name. */
    public Map<String, PipelineRow> pipelines() {
        return pipelines;
    }

    /** Returns all workspaces by name. */
    public Map<String, WorkspaceRow> workspaces() {
        return workspaces;
    }

    /** Returns the models and adapters that engines should have loaded, by service. */
    public Map<String, EngineRow> engines() {
        return engines;
    }

    /** Returns all rows, ordered by key. */
    public List<ConfigCell> cells() {
        return new TreeMap<>(cells)
                .entrySet().stream()
                        .map(e -> new ConfigCell(e.getKey(), e.getValue()))
                        .toList();
    }

    /**
     * Returns a copy of this configuration with some rows replaced.
     *
     * <p>A row that violates its schema keeps its last valid value and is reported to the listener.
     *
     * @param newRevision revision of the result
     * @param changed new values of the changed rows; a null value removes the row
     * @param rejectedRowListener notified of each invalid row, which keeps its previous value
     * @return the new configuration
     */
    public ConfigSnapshot withChanges(
            long newRevision, List<ConfigCell> changed, RejectedRowListener rejectedRowListener) {
        Builder builder = new Builder(this, newRevision);
        for (ConfigCell cell : changed) {
            try {
                builder.put(cell);
            } catch (InvalidRowException e) {
                rejectedRowListener.onRejected(e);
            }
        }
        return builder.build();
    }

    /** Listener for invalid rows that were not applied. */
    @FunctionalInterface
    public interface RejectedRowListener {
        /** Called when a row is invalid and keeps its previous value. */
        void onRejected(InvalidRowException failure);
    }

    private static final class Builder {
        private final long revision;
        private final Map<String, JsonNode> cells;
        private final Map<String, PipelineRow> pipelines;
        private final Map<String, WorkspaceRow> workspaces;
        private final Map<String, BoxClassRow> boxClasses;
        private final Map<String, EngineRow> engines;

        Builder(ConfigSnapshot from, long revision) {
            this.revision = revision;
            this.cells = new HashMap<>(from.cells);
            this.pipelines = new HashMap<>(from.pipelines);
            this.workspaces = new HashMap<>(from.workspaces);
            this.boxClasses = new HashMap<>(from.boxClasses);
            this.engines = new HashMap<>(from.engines);
        }

        void put(ConfigCell cell) throws InvalidRowException {
            ConfigKey key = ConfigKey.parse(cell.getKey());
            boolean removed = cell.getValue() == null || cell.getValue().isNull();
            Object row = removed ? null : ConfigRowValidator.validate(key, cell.getValue());
            putRow(key, row);
            if (removed) {
                cells.remove(cell.getKey());
            } else {
                cells.put(cell.getKey(), cell.getValue());
            }
        }

        private void putRow(ConfigKey key, Object row) {
            switch (key.kind()) {
                case PIPELINE -> replace(pipelines, key.name(), (PipelineRow) row);
                case WORKSPACE -> replace(workspaces, key.name(), (WorkspaceRow) row);
                case BOX_CLASS -> replace(boxClasses, key.name(), (BoxClassRow) row);
                case ENGINE -> replace(engines, key.name(), (EngineRow) row);
                default -> throw new AssertionError(key.kind());
            }
        }

        private static <T> void replace(Map<String, T> rows, String name, T row) {
            if (row == null) {
                rows.remove(name);
            } else {
                rows.put(name, row);
            }
        }

        ConfigSnapshot build() {
            return new ConfigSnapshot(revision, cells, pipelines, workspaces, boxClasses, engines);
        }
    }
}
