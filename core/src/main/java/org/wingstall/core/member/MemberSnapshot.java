package org.wingstall.core.member;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import org.wingstall.schema.platform.Member;

/**
 * The membership list as it was at one moment.
 *
 * <p>{@code MemberSnapshot.NONE} stands for no list at all.
 *
 * @param tag tag that the platform gave this state of the list; empty when it gave none
 * @param members the members
 * @since 0.1
 */
public record MemberSnapshot(String tag, List<Member> members) {
    /** No list. */
    public static final MemberSnapshot NONE = new MemberSnapshot("", List.of());

    private static final int SHORT_TAG_MASK = 0x7fff_ffff;

    /** Copies the members. */
    public MemberSnapshot {
        members = List.copyOf(members);
    }

    /**
     * Returns a list whose tag is a hash of what it holds, for a source that gives no tags: lists with the same members have
     * the same tag, in whatever order they come.
     *
     * @param members the members
     * @return the list
     */
    public static MemberSnapshot withContentTag(List<Member> members) {
        List<Member> sorted = members.stream()
                .sorted(Comparator.comparing(Member::getMemberId))
                .toList();
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        for (Member member : sorted) {
            hash.putString(member.getMemberId());
            hash.putString(member.getFailureDomain());
            hash.putString(String.valueOf(member.getService()));
            hash.putString(String.valueOf(member.getBoxClass()));
            hash.putString(member.getAddress());
            hash.putString(member.getState().value());
            hash.putLong(member.getIncarnation());
            hash.putInt(member.getSlots());
            hash.putLong(member.getColdMs());
        }
        return new MemberSnapshot(Long.toHexString(hash.getAsLong()), sorted);
    }

    /** Returns a short hash of the tag, at least 1; 0 when the platform gave no tag. */
    public int shortTag() {
        return tag.isEmpty() ? 0 : Math.max(1, tag.hashCode() & SHORT_TAG_MASK);
    }
}
