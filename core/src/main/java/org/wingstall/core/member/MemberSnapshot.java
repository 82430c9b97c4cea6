package org.wingstall.core.member;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import org.wingstall.schema.platform.Member;

/**
 * Holds the membership list at one point in time.
 *
 * <p>{@code MemberSnapshot.NONE} is used before any list has been received.
 *
 * @param tag tag that identifies this version of the list; empty if the source gave none
 * @param members the members
 * @since 0.1
 */
public record MemberSnapshot(String tag, List<Member> members) {
    /** The snapshot used when there is no list. */
    public static final MemberSnapshot NONE = new MemberSnapshot("", List.of());

    private static final int SHORT_TAG_MASK = 0x7fff_ffff;

    /** Copies the members. */
    public MemberSnapshot {
        members = List.copyOf(members);
    }

    /**
     * Returns a snapshot whose tag is a hash of its members, for sources that supply no tags. Lists with the same
     * members have the same tag, regardless of their order.
     *
     * @param members the members
     * @return the snapshot
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

    /** Returns a 31-bit hash of the tag, at least 1; 0 if there is no tag. */
    public int shortTag() {
        return tag.isEmpty() ? 0 : Math.max(1, tag.hashCode() & SHORT_TAG_MASK);
    }
}
