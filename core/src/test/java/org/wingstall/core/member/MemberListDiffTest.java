package org.wingstall.core.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.platform.Member;

public class MemberListDiffTest {
    private static Member member(String id, long incarnation) {
        return new Member(id, Member.Kind.ENDPOINT, "d", "127.0.0.1:1", "s", "c", Member.State.LIVE, incarnation, 0, 0);
    }

    private static MemberSnapshot list(String tag, Member... members) {
        return new MemberSnapshot(tag, List.of(members));
    }

    @DataProvider
    Object[][] changes() {
        MemberSnapshot two = list("1", member("a", 1), member("b", 1));
        return new Object[][] {
            {"only the tag changed", two, list("2", member("a", 1), member("b", 1)), 0, 0},
            {"member added", two, list("2", member("a", 1), member("b", 1), member("c", 1)), 1, 0},
            {"incarnation changed", two, list("2", member("a", 2), member("b", 1)), 1, 0},
            {"member removed", two, list("2", member("b", 1)), 0, 1},
            {"all members replaced", two, list("2", member("c", 1), member("d", 1)), 2, 2},
        };
    }

    @Test(dataProvider = "changes")
    public void diffTurnsOlderListIntoNewer(
            String name, MemberSnapshot before, MemberSnapshot after, int changed, int removed) {
        MemberNews diff = MemberListDiff.between(before, after, StoreVersion.NONE);
        assertEquals(diff.getChanged().size(), changed);
        assertEquals(diff.getRemoved().size(), removed);
        MemberSnapshot applied = MemberListDiff.apply(before, diff).orElseThrow();
        assertEquals(applied.tag(), after.tag());
        assertEquals(Set.copyOf(applied.members()), Set.copyOf(after.members()));
    }

    @Test
    public void doesNotApplyDiffOfAnotherList() {
        MemberNews diff = MemberListDiff.between(list("1"), list("2", member("a", 1)), StoreVersion.NONE);
        assertEquals(MemberListDiff.apply(list("3"), diff), Optional.empty());
        assertEquals(MemberListDiff.apply(MemberSnapshot.NONE, diff), Optional.empty());
    }

    @Test
    public void shortTagIsZeroWithoutTagAndPositiveOtherwise() {
        assertEquals(MemberSnapshot.NONE.shortTag(), 0);
        assertTrue(list("\"17\"").shortTag() > 0);
    }
}
