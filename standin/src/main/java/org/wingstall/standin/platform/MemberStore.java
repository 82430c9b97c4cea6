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

    /** The list as it was from a moment on. */
    record Version(int number, long atMs, MemberList list) {}

    synchronized void lagMs(long lag) {
        lagMs = lag;
    }

    synchronized void put(Member member) {
        putAll(List.of(member));
    }

    synchronized void putAll(List<Member> several) {
        several.forEach(member -> members.put(member.getMemberId(), member));
        changed();
    }

    synchronized void remove(String memberId) {
        members.remove(memberId);
        changed();
    }

    private void changed() {
        MemberList list = new MemberList(List.copyOf(members.values()));
        versions.addLast(new Version(versions.size() + 1, System.currentTimeMillis(), list));
    }

    /** Returns the list as it was before the lag. */
    synchronized Version shown() {
        long asOfMs = System.currentTimeMillis() - lagMs;
        Version shown = new Version(0, 0, new MemberList(List.of()));
        for (Version version : versions) {
            if (version.atMs() <= asOfMs) {
                shown = version;
            }
        }
        return shown;
    }
}
