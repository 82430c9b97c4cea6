package org.wingstall.load;

import java.util.List;
import org.wingstall.schema.load.Scenario;

/** Variants of scenarios. */
final class Scenarios {
    private static final long SHORT_MS = 4000;

    private Scenarios() {}

    /** Returns the first few seconds of a scenario, without its faults. */
    static Scenario shortened(Scenario scenario) {
        return new Scenario(scenario.getName(), SHORT_MS, 0, scenario.getStreams(), List.of());
    }
}
