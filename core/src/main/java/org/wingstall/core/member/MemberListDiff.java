package org.wingstall.core.member;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.platform.Member;

/**
 * Differences between two states of the membership list, so that one box of a failure domain reads it for the others.
 *
 * <p>{@code MemberNews news = MemberListDiff.between(before, after, 0); ... MemberListDiff.apply(mine, news);}
 *
 * @since 0.1
 */
public final class MemberListDiff {
    private MemberListDiff() {}

    /**
     * Returns what turns one list into another.
     *
     * @param before the older list
     * @param after the newer list
     * @param version version of the store as of which the newer list was read; 0 when lists have tags of the platform
     * @return members that are new, differ or are gone
     */
    public static MemberNews between(MemberSnapshot before, MemberSnapshot after, long version) {
        Map<String, Member> gone = byId(before);
        List<Member> changed = new ArrayList<>();
        for (Member member : after.members()) {
            Member known = gone.remove(member.getMemberId());
            if (!member.equals(known)) {
                changed.add(member);
            }
        }
        return new MemberNews(before.tag(), after.tag(), changed, List.copyOf(gone.keySet()), version);
    }

    /**
     * Applies a change to the list that it was made for.
     *
     * @param mine the list at hand
     * @param news the change
     * @return the list after the change, or empty when the change was made for another list
     */
    public static Optional<MemberSnapshot> apply(MemberSnapshot base, MemberNews diff) {
        if (base.shortTag() == 0 || !base.tag().equals(diff.getBeforeTag())) {
            return Optional.empty();
        }
        Map<String, Member> members = byId(base);
        diff.getRemoved().forEach(members::remove);
        diff.getChanged().forEach(member -> members.put(member.getMemberId(), member));
        return Optional.of(new MemberSnapshot(diff.getTag(), List.copyOf(members.values())));
    }

    private static Map<String, Member> byId(MemberSnapshot list) {
        Map<String, Member> members = new LinkedHashMap<>();
        list.members().forEach(member -> members.put(member.getMemberId(), member));
        return members;
    }
}
