package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.control.OneReaderPerDomainPolicy.Peer;

public class OneReaderPerDomainPolicyTest {
    private static final Set<String> HUBS = Set.of("hub-1", "hub-2", "far-hub");

    private static final Peer FAR_READER = new Peer("far-hub", false, true, false);

    private static boolean mine(String self, Peer... heard) {
        return new OneReaderPerDomainPolicy(self, () -> List.of(heard), HUBS::contains).shouldRead();
    }

    private static Peer hub(String boxId, boolean unanswered) {
        return new Peer(boxId, true, !unanswered, unanswered);
    }

    @Test
    public void oneHubOfADomainReads() {
        boolean first = mine("hub-1", FAR_READER, hub("hub-2", false));
        boolean second = mine("hub-2", FAR_READER, hub("hub-1", false));
        assertEquals(first ^ second, true);
    }

    @DataProvider
    Object[][] cases() {
        return new Object[][] {
            {"a box that hears a reader waits for word", "box", List.of(FAR_READER), false},
            {"a box that hears nobody reads", "box", List.of(), true},
            {"a box whose peers do not read reads", "box", List.of(new Peer("box-2", true, false, false)), true},
            {"a hub alone in its domain reads beside far ones", "hub-1", List.of(FAR_READER), true},
        };
    }

    @Test(dataProvider = "cases")
    public void aBoxKnowsItsDuty(String what, String self, List<Peer> heard, boolean expected) {
        assertEquals(mine(self, heard.toArray(Peer[]::new)), expected, what);
    }

    @Test
    public void aHubThatTheStoreDoesNotAnswerLeavesTheDutyToTheOther() {
        assertEquals(mine("hub-1", FAR_READER, hub("hub-2", true)), true);
        assertEquals(mine("hub-2", FAR_READER, hub("hub-1", true)), true);
    }
}
