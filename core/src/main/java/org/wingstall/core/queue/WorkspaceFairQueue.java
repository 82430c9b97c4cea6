package org.wingstall.core.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Schedules waiters by start-time fair queueing over workspaces; waiters of one workspace are ordered by deadline. */
final class WorkspaceFairQueue<W extends Waiter> {
    private static final int MAX_RETAINED_FLOWS = 1024;

    private final Map<String, WorkspaceFlow<W>> flows = new HashMap<>();
    private final TreeSet<WorkspaceFlow<W>> backlogged = new TreeSet<>(
            Comparator.<WorkspaceFlow<W>>comparingDouble(flow -> flow.startTime).thenComparing(flow -> flow.name));
    private double virtualTime;
    private long sequence;
    private int size;

    private static final class WorkspaceFlow<W extends Waiter> {
        private final String name;
        private final TreeSet<Entry<W>> entries = new TreeSet<>();
        private final Map<W, Entry<W>> byWaiter = new HashMap<>();
        private double startTime;

        WorkspaceFlow(String name) {
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
        WorkspaceFlow<W> flow = flows.computeIfAbsent(waiter.workspace(), WorkspaceFlow::new);
        if (flow.entries.isEmpty()) {
            flow.startTime = Math.max(flow.startTime, virtualTime);
            backlogged.add(flow);
        }
        Entry<W> entry = new Entry<>(waiter, waiter.deadlineMs(), sequence++);
        flow.entries.add(entry);
        flow.byWaiter.put(waiter, entry);
        size++;
    }

    W poll() {
        if (backlogged.isEmpty()) {
            return null;
        }
        WorkspaceFlow<W> flow = backlogged.pollFirst();
        Entry<W> entry = flow.entries.pollFirst();
        flow.byWaiter.remove(entry.waiter());
        virtualTime = flow.startTime;
        flow.startTime += 1 / entry.waiter().weight();
        size--;
        requeueOrEvict(flow);
        return entry.waiter();
    }

    boolean remove(W waiter) {
        WorkspaceFlow<W> flow = flows.get(waiter.workspace());
        Entry<W> entry = flow == null ? null : flow.byWaiter.remove(waiter);
        if (entry == null) {
            return false;
        }
        backlogged.remove(flow);
        flow.entries.remove(entry);
        size--;
        requeueOrEvict(flow);
        return true;
    }

    int size() {
        return size;
    }

    private void requeueOrEvict(WorkspaceFlow<W> flow) {
        if (!flow.entries.isEmpty()) {
            backlogged.add(flow);
        } else if (flows.size() > MAX_RETAINED_FLOWS) {
            flows.remove(flow.name);
        }
    }
}
