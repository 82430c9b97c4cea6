package org.wingstall.core.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Start-time fair queueing over workspaces; a workspace's own waiters go by deadline. */
final class FairLevel<W extends Waiter> {
    private static final int IDLE_WORKSPACES_KEPT = 1024;

    private final Map<String, Lane<W>> lanes = new HashMap<>();
    private final TreeSet<Lane<W>> busy = new TreeSet<>(
            Comparator.<Lane<W>>comparingDouble(lane -> lane.startTime).thenComparing(lane -> lane.name));
    private double virtualTime;
    private long sequence;
    private int size;

    private static final class Lane<W extends Waiter> {
        private final String name;
        private final TreeSet<Entry<W>> entries = new TreeSet<>();
        private final Map<W, Entry<W>> byWaiter = new HashMap<>();
        private double startTime;

        Lane(String name) {
            this.name = name;
        }
    }

    private record Entry<W extends Waiter>(W waiter, long deadlineMs, long sequence) implements Comparable<Entry<W>> {
        @Override
        public int compareTo(Entry<W> other) {
            int byDeadline = Long.compare(deadlineMs, other.deadlineMs);
            return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
        }
    }

    void add(W waiter) {
        Lane<W> lane = lanes.computeIfAbsent(waiter.workspace(), Lane::new);
        if (lane.entries.isEmpty()) {
            lane.startTime = Math.max(lane.startTime, virtualTime);
            busy.add(lane);
        }
        Entry<W> entry = new Entry<>(waiter, waiter.deadlineMs(), sequence++);
        lane.entries.add(entry);
        lane.byWaiter.put(waiter, entry);
        size++;
    }

    W poll() {
        if (busy.isEmpty()) {
            return null;
        }
        Lane<W> lane = busy.pollFirst();
        Entry<W> entry = lane.entries.pollFirst();
        lane.byWaiter.remove(entry.waiter());
        virtualTime = lane.startTime;
        lane.startTime += 1 / entry.waiter().weight();
        size--;
        keepOrForget(lane);
        return entry.waiter();
    }

    boolean remove(W waiter) {
        Lane<W> lane = lanes.get(waiter.workspace());
        Entry<W> entry = lane == null ? null : lane.byWaiter.remove(waiter);
        if (entry == null) {
            return false;
        }
        busy.remove(lane);
        lane.entries.remove(entry);
        size--;
        keepOrForget(lane);
        return true;
    }

    int size() {
        return size;
    }

    private void keepOrForget(Lane<W> lane) {
        if (!lane.entries.isEmpty()) {
            busy.add(lane);
        } else if (lanes.size() > IDLE_WORKSPACES_KEPT) {
            lanes.remove(lane.name);
        }
    }
}
