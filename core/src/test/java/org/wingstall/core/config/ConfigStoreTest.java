package org.wingstall.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.table.ConfigCell;
import org.wingstall.schema.table.ConfigChange;

public class ConfigStoreTest {
    private final List<InvalidRowException> rejected = new ArrayList<>();
    private ConfigStore store;

    @BeforeMethod
    public void createStore() {
        rejected.clear();
        store = new ConfigStore(rejected::add);
    }

    private static ConfigCell workspaceWithWeight(double weight) {
        return new ConfigCell(
                "workspace/w", Json.MAPPER.createObjectNode().put("name", "w").put("weight", weight));
    }

    private static ConfigChange change(long revision, double weight) {
        return new ConfigChange(revision, "e" + revision, "ann", 0, List.of(workspaceWithWeight(weight)));
    }

    private double currentWeight() {
        return store.current().workspace("w").orElseThrow().getWeight();
    }

    @Test
    public void appliesChangesInOrderAndIgnoresOldOnes() {
        assertTrue(store.offerDelta(List.of(change(1, 1), change(2, 2))));
        assertTrue(store.offerDelta(List.of(change(1, 9), change(2, 9), change(3, 3))));
        assertEquals(store.current().revision(), 3);
        assertEquals(currentWeight(), 3.0);
    }

    @Test
    public void doesNotApplyChangeAfterMissingRevision() {
        store.offerDelta(List.of(change(1, 1)));
        assertFalse(store.offerDelta(List.of(change(3, 3))));
        assertEquals(store.current().revision(), 1);
    }

    @Test
    public void doesNotApplyLowerOrEqualRevision() {
        store.offerComplete(5, List.of(workspaceWithWeight(5)));
        assertFalse(store.offerComplete(4, List.of(workspaceWithWeight(4))));
        assertFalse(store.offerComplete(5, List.of(workspaceWithWeight(4))));
        assertFalse(store.offerPeerDelta(5, 5, List.of(workspaceWithWeight(4))));
        assertFalse(store.offerPeerDelta(4, 6, List.of(workspaceWithWeight(4))));
        assertEquals(currentWeight(), 5.0);
    }

    @Test
    public void invalidRowKeepsLastValidValueAndIsReported() {
        store.offerDelta(List.of(change(1, 1), change(2, -7)));
        assertEquals(store.current().revision(), 2);
        assertEquals(currentWeight(), 1.0);
        assertEquals(rejected.get(0).getMessage(), "workspace/w: weight: '-7.0' is not valid; valid: at least 0.001");
    }

    @Test
    public void returnsRowsChangedSinceRevision() {
        store.offerDelta(List.of(change(1, 1), change(2, 2), change(3, 3)));
        assertEquals(store.cellsAfter(1).orElseThrow().size(), 2);
        store.offerComplete(9, List.of(workspaceWithWeight(9)));
        assertTrue(store.cellsAfter(3).isEmpty());
    }

    @DataProvider
    Object[][] brokenPipelines() {
        String stage = "{name: a, service: s, kind: pool}";
        return new Object[][] {
            {"{name: p, deadlineMs: 100, stages: []}", "at least 1 items"},
            {"{name: q, deadlineMs: 100, stages: [" + stage + "]}", "the key's name, p"},
            {"{name: p, deadlineMs: 100, stages: [" + stage + ", " + stage + "]}", "a name that no other stage has"},
            {"{name: p, deadlineMs: 1, stages: [" + stage + "]}", "at least 50"},
            {
                "{name: p, deadlineMs: 100, stages: [{name: a, service: s, kind: engine, repeatable: false}]}",
                "true for a stage of kind engine"
            },
        };
    }

    @Test(dataProvider = "brokenPipelines")
    public void errorForInvalidPipelineNamesValidValues(String yaml, String valid) throws InvalidDocumentException {
        JsonNode row = Json.readYaml(yaml);
        InvalidRowException e = expectThrows(
                InvalidRowException.class, () -> ConfigRowValidator.validate(ConfigKey.parse("pipeline/p"), row));
        assertTrue(e.getMessage().endsWith("valid: " + valid), e.getMessage());
    }

    @Test
    public void rejectsDifferentKindsForOneService() throws InvalidDocumentException {
        JsonNode one = Json.readYaml("{name: p, deadlineMs: 100, stages: [{name: a, service: s, kind: pool}]}");
        JsonNode two = Json.readYaml("{name: q, deadlineMs: 100, stages: [{name: a, service: s, kind: plain}]}");
        expectThrows(
                InvalidRowException.class,
                () -> ConfigRowValidator.validateConsistency(Map.of("pipeline/p", one, "pipeline/q", two)));
    }
}
