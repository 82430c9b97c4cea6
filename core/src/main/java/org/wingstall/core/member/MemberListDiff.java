package org.wingstall.core.member;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.platform.Member;

/**
 * Computes and applies differences between membership lists, so that one box of a failure domain can read the list and
 * send the changes to the others.
 *
 * <p>{@code MemberNews news = MemberListDiff.between(before, after, StoreVersion.NONE); ... MemberListDiff.apply(current, news);}
 *
 * @since 0.1
 */
public final class MemberListDiff {
    private MemberListDiff() {}

    /**
     * Returns the difference that turns one list into another.
     *
     * @param before the older list
     * @param after the newer list
     * @param version version of the store at which the newer list was read; none if the platform supplies the tags
     * @return members that were added, changed or removed
     */
    public static MemberNews between(MemberSnapshot before, MemberSnapshot after, StoreVersion version) {
        Map<String, Member> removed = byId(before);
        List<Member> changed = new ArrayList<>();
        for (Member member : after.members()) {
            Member previous = removed.remove(member.getMemberId());
            if (!member.equals(previous)) {
                changed.add(member);
            }
        }
        return new MemberNews(
                before.tag(), after.tag(), changed, List.copyOf(removed.keySet()), version.number(), version.era());
    }

    /**
     * Applies a difference to the list that it was computed from.
     *
     * @param base the current list
     * @param diff the difference
     * @return the updated list, or empty if the difference was computed from another list
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
