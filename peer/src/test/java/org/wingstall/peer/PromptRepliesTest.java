package org.wingstall.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.Hello;

/** A box that is cut off while it works for others is found out by the work, before its heartbeats are missed. */
public class PromptRepliesTest {
    private static final long SILENT_AFTER_MS = 1300;
    private static final String HUB = "b-1";

    private long nowMs;
    private PromptReplies replies;
    private PeerTable peers;
    private final Set<String> seldom = new HashSet<>();

    @BeforeMethod
    public void create() {
        nowMs = 10_000;
        seldom.clear();
        replies = new PromptReplies(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        peers = new PeerTable(
                new LinkPlan.Box("a-1", "a", 100),
                SILENT_AFTER_MS,
                seldom::contains,
                () -> false,
                replies,
                () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        beats(HUB, "b");
        beats("b-2", "b");
    }

    private void beats(String boxId, String domain) {
        replies.heard(boxId);
        peers.heard(
                new Hello(boxId, domain, "10.0.0.1:1", 1, 100, true, false),
                new Heartbeat(1, false, List.of(), List.of(), List.of(), false, 0, 0, 0, null, 0, 0, null, 0));
    }

    @Test
    public void aHubThatOwesAReplyIsNotServingLongBeforeItsHeartbeatsAreMissed() {
        replies.confirmed(HUB);
        nowMs += 100;
        replies.expect(HUB);
        assertTrue(peers.heard(HUB));
        nowMs += PromptReplies.REPLY_MS + 1;
        assertFalse(peers.heard(HUB));
        assertEquals(peers.serving(), List.of("b-2"));
        assertEquals(peers.doubtfulDomains(), Set.of("b"));
        assertEquals(peers.silentDomains(), Set.of());
    }

    @Test
    public void anyFrameSettlesWhatABoxOwes() {
        replies.confirmed(HUB);
        replies.expect(HUB);
        nowMs += PromptReplies.REPLY_MS + 1;
        beats(HUB, "b");
        assertTrue(peers.heard(HUB));
        assertEquals(peers.doubtfulDomains(), Set.of());
    }

    @Test
    public void laterQuestionsDontPutOffWhatTheFirstWaitsFor() {
        replies.confirmed(HUB);
        replies.expect(HUB);
        for (int i = 0; i < 4; i++) {
            nowMs += PromptReplies.REPLY_MS / 3;
            replies.expect(HUB);
        }
        assertFalse(peers.heard(HUB));
    }

    /** Boxes are replaced one by one, so that for a while some of them confirm nothing. */
    @Test
    public void nothingIsExpectedOfABoxThatNeverConfirmed() {
        replies.expect(HUB);
        nowMs += PromptReplies.REPLY_MS + 1;
        assertTrue(peers.heard(HUB));
    }

    @Test
    public void aBoxWhoseLinkIsGoneOwesNothing() {
        replies.confirmed(HUB);
        replies.expect(HUB);
        replies.forget(HUB);
        nowMs += PromptReplies.REPLY_MS + 1;
        assertTrue(peers.heard(HUB));
    }

    @Test
    public void aBoxThatIsHeardSeldomIsMissedLater() {
        seldom.add("b-2");
        nowMs += SILENT_AFTER_MS + 1;
        assertEquals(peers.serving(), List.of("b-2"));
    }

    /** A failure domain is found to be cut off as soon as by heartbeats at each turn. */
    @Test
    public void aFailureDomainIsSilentWhenItsHubsAre() {
        seldom.add("b-2");
        nowMs += SILENT_AFTER_MS + 1;
        assertEquals(peers.silentDomains(), Set.of("b"));
    }
}
