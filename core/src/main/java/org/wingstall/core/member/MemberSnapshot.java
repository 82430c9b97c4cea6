package org.wingstall.core.member;

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

    private static final int SHORT_TAG_BITS = 0x7fff_ffff;

    /** Copies the members. */
    public MemberSnapshot {
        members = List.copyOf(members);
    }

    /** Returns a short hash of the tag, at least 1; 0 when the platform gave no tag. */
    public int shortTag() {
        return tag.isEmpty() ? 0 : Math.max(1, tag.hashCode() & SHORT_TAG_BITS);
    }
}
