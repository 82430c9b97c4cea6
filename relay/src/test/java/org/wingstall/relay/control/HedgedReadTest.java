package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that a starting box, which is slower than its source, does not take its own delay for a failure of the source.
 */
public class HedgedReadTest {
    private final List<CompletableFuture<String>> calls = new ArrayList<>();
    private EmbeddedChannel channel;
    private CompletableFuture<String> answer;

    @BeforeMethod
    public void ask() {
        calls.clear();
        channel = new EmbeddedChannel();
        channel.freezeTime();
        answer = HedgedRead.start(channel.eventLoop(), () -> {
            calls.add(new CompletableFuture<>());
            return calls.get(calls.size() - 1);
        });
    }

    private void pass(long ms) {
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
        channel.runScheduledPendingTasks();
    }

    /** A call that was abandoned after 700 ms was replaced by one that took as long again. */
    @Test
    public void anAnswerThatComesLateStillCounts() {
        pass(HedgedRead.HEDGE_DELAY_MS + 1);
        assertEquals(calls.size(), 2);
        calls.get(0).complete("late");
        pass(1);
        assertEquals(answer.join(), "late");
    }

    @Test
    public void anAnswerThatWasLostIsReplacedByTheSecond() {
        pass(HedgedRead.HEDGE_DELAY_MS + 1);
        calls.get(1).complete("second");
        pass(1);
        assertEquals(answer.join(), "second");
    }

    @Test
    public void anAnswerInTimeIsAskedForOnce() {
        calls.get(0).complete("at once");
        pass(2 * HedgedRead.HEDGE_DELAY_MS);
        assertEquals(answer.join(), "at once");
        assertEquals(calls.size(), 1);
    }

    @Test
    public void aSourceThatTurnsTheBoxAwayIsNotAskedAgainHere() {
        calls.get(0).completeExceptionally(new IllegalStateException("429"));
        pass(2 * HedgedRead.HEDGE_DELAY_MS);
        assertTrue(answer.isCompletedExceptionally());
        assertEquals(calls.size(), 1);
    }

    @Test
    public void oneOfTwoCallsThatFailsLeavesTheOther() {
        pass(HedgedRead.HEDGE_DELAY_MS + 1);
        calls.get(0).completeExceptionally(new IllegalStateException("reset"));
        pass(1);
        assertFalse(answer.isDone());
        calls.get(1).complete("second");
        pass(1);
        assertEquals(answer.join(), "second");
    }
}
