package org.wingstall.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.schema.platform.Member;

/** The gateways known from the membership list and from hellos, and which of them can't be reached. */
final class Directory {
    private static final int FAILURES_TO_COUNT_AS_GONE = 3;

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<InetSocketAddress, Integer> failures = new HashMap<>();
    private final Map<InetSocketAddress, String> boxesBehind = new HashMap<>();
    private long changes;
    private boolean listed;

    /** A box and where it takes links. */
    record Entry(LinkPlan.Box box, InetSocketAddress address) {}

    void applyList(List<Member> members, String selfId) {
        List<Entry> listed = new ArrayList<>();
        for (Member member : members) {
            if (member.getKind() == Member.Kind.GATEWAY) {
                LinkPlan.Box box = new LinkPlan.Box(member.getMemberId(), member.getFailureDomain());
                listed.add(new Entry(box, Addresses.parse(member.getAddress())));
            }
        }
        applyBoxes(listed, selfId);
    }

    /** Takes in all boxes known from elsewhere; those that were learned from hellos since stay out. */
    void applyBoxes(List<Entry> boxes, String selfId) {
        Map<String, Entry> next = new HashMap<>();
        boxes.stream()
                .filter(entry -> !entry.box().boxId().equals(selfId))
                .forEach(entry -> next.put(entry.box().boxId(), entry));
        listed = true;
        if (!next.equals(entries)) {
            entries.clear();
            entries.putAll(next);
            changes++;
        }
    }

    void learned(LinkPlan.Box box, InetSocketAddress address) {
        Entry entry = new Entry(box, address);
        if (!entry.equals(entries.put(box.boxId(), entry))) {
            changes++;
        }
        dialSucceeded(address);
    }

    /** Returns whether the boxes of the fleet have been read, so that those without a hello are known as well. */
    boolean listed() {
        return listed;
    }

    /** Returns a number that grows whenever other boxes are known, or other ones can be reached, than before. */
    long changes() {
        return changes;
    }

    /** Records the box that answered at an address, which may not be the address that the box gives itself. */
    void answered(InetSocketAddress address, String boxId) {
        boxesBehind.put(address, boxId);
    }

    /** Returns the box that last answered at an address, or null. */
    String boxBehind(InetSocketAddress address) {
        return boxesBehind.get(address);
    }

    void dialFailed(InetSocketAddress address) {
        int count = failures.merge(address, 1, Integer::sum);
        if (count == FAILURES_TO_COUNT_AS_GONE) {
            changes++;
        }
    }

    /**
     * Records that a box was reached. If it had counted as gone, the other boxes of its failure domain are taken for
     * reachable as well until dials show otherwise: most often a cut has healed.
     */
    void dialSucceeded(InetSocketAddress address) {
        Integer count = failures.remove(address);
        if (count != null && count >= FAILURES_TO_COUNT_AS_GONE) {
            changes++;
            entries.values().stream()
                    .filter(entry -> entry.address().equals(address))
                    .findFirst()
                    .ifPresent(reached -> forgetFailures(reached.box().failureDomain()));
        }
    }

    private void forgetFailures(String failureDomain) {
        for (Entry entry : entries.values()) {
            if (entry.box().failureDomain().equals(failureDomain)) {
                failures.remove(entry.address());
            }
        }
    }

    int size() {
        return entries.size();
    }

    Entry entry(String boxId) {
        return entries.get(boxId);
    }

    boolean knows(InetSocketAddress address) {
        return entries.values().stream().anyMatch(entry -> entry.address().equals(address));
    }

    /** Returns all boxes that can be reached as far as is known. */
    List<LinkPlan.Box> reachable() {
        return boxes(true);
    }

    /** Returns the boxes that can't be reached. */
    List<LinkPlan.Box> unreachable() {
        return failures.isEmpty() ? List.of() : boxes(false);
    }

    private List<LinkPlan.Box> boxes(boolean reachable) {
        List<LinkPlan.Box> boxes = new ArrayList<>();
        for (Entry entry : entries.values()) {
            boolean counted = failures.getOrDefault(entry.address(), 0) < FAILURES_TO_COUNT_AS_GONE;
            if (counted == reachable) {
                boxes.add(entry.box());
            }
        }
        return boxes;
    }

    /** Returns all boxes. */
    List<LinkPlan.Box> all() {
        return entries.values().stream().map(Entry::box).toList();
    }
}
