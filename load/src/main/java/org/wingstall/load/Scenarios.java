package org.wingstall.load;

import java.util.List;
import org.wingstall.schema.load.Scenario;
import org.wingstall.schema.load.Stream;

/** Variants of scenarios. */
final class Scenarios {
    private static final long SHORT_MS = 4000;

    private Scenarios() {}

    /** Returns a scenario whose streams arrive at other rates. */
    static Scenario scaled(Scenario scenario, double factor) {
        List<Stream> streams = scenario.getStreams().stream()
                .map(stream -> scaled(stream, factor))
                .toList();
        return new Scenario(
                scenario.getName(), scenario.getDurationMs(), scenario.getWarmupMs(), streams, scenario.getEvents());
    }

    private static Stream scaled(Stream stream, double factor) {
        return new Stream(
                stream.getPipeline(),
                stream.getWorkspace(),
                stream.getPerSecond() * factor,
                stream.getDeadlineMs(),
                stream.getBurstFromMs(),
                stream.getBurstToMs(),
                stream.getBurstFactor(),
                stream.isStreamed(),
                stream.isKeyed(),
                stream.getSharedPromptChars(),
                stream.getSessions(),
                stream.getSessionPromptChars(),
                stream.getObeyRetryAfter());
    }

    /** Returns the first few seconds of a scenario, without its faults. */
    static Scenario shortened(Scenario scenario) {
        return new Scenario(scenario.getName(), SHORT_MS, 0, scenario.getStreams(), List.of());
    }
}
