package org.wingstall.gateway.relay;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A box that does not serve did not say which step of its start is missing. */
public class StartTimelineTest {
    private long nowMs = 5000;
    private boolean listKnown;
    private final StartTimeline timeline = new StartTimeline(() -> TimeUnit.MILLISECONDS.toNanos(nowMs))
            .await("config", () -> true)
            .await("list", () -> listKnown);

    @Test
    public void stepsAreReachedOnceAndTheOthersAreMissing() {
        nowMs += 300;
        timeline.check();
        assertEquals(timeline.reachedAfterMs(), Map.of("config", 300L));
        assertEquals(timeline.missing(), Set.of("list"));
        nowMs += 27_000;
        listKnown = true;
        timeline.check();
        assertEquals(timeline.reachedAfterMs(), Map.of("config", 300L, "list", 27_300L));
        assertEquals(timeline.missing(), Set.of());
    }
}
