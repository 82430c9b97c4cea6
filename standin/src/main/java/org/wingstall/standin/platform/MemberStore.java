package org.wingstall.standin.platform;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wingstall.schema.platform.Member;
import org.wingstall.schema.platform.MemberList;

/** A membership list that shows what was true some time ago. */
final class MemberStore {
    private final Map<String, Member> members = new TreeMap<>();
    private final ArrayDeque<Version> versions = new ArrayDeque<>();
    private long lagMs;

    private record Version(long atMs, MemberList list) {}

    synchronized void lagMs(long lag) {
        lagMs = lag;
    }

    synchronized void put(Member member) {
        members.put(member.getMemberId(), member);
        changed();
    }

    synchronized void remove(String memberId) {
        members.remove(memberId);
        changed();
    }

    private void changed() {
        versions.addLast(new Version(System.currentTimeMillis(), new MemberList(List.copyOf(members.values()))));
    }

    synchronized MemberList list() {
        long asOfMs = System.currentTimeMillis() - lagMs;
        MemberList shown = new MemberList(List.of());
        for (Version version : versions) {
            if (version.atMs() <= asOfMs) {
                shown = version.list();
            }
        }
        return shown;
    }
}
