package org.wingstall.core.queue;

/**
 * Serves the highest precedence first; within a precedence, workspaces share by weight, and each workspace's waiters
 * are ordered by deadline.
 */
final class PrecedenceQueue<W extends Waiter> implements WaitQueue<W> {
    private static final int PRECEDENCE_LEVELS = 10;

    private final WorkspaceFairQueue<W>[] levels = createLevels();
    private int size;

    @SuppressWarnings({"unchecked", "rawtypes"})
    private static <W extends Waiter> WorkspaceFairQueue<W>[] createLevels() {
        WorkspaceFairQueue[] levels = new WorkspaceFairQueue[PRECEDENCE_LEVELS];
        for (int i = 0; i < PRECEDENCE_LEVELS; i++) {
            levels[i] = new WorkspaceFairQueue();
        }
        return levels;
    }

    @Override
    public void add(W waiter) {
        levels[waiter.precedence()].add(waiter);
        size++;
    }

    @Override
    public W poll() {
        for (int i = PRECEDENCE_LEVELS - 1; i >= 0; i--) {
            W waiter = levels[i].poll();
            if (waiter != null) {
                size--;
                return waiter;
            }
        }
        return null;
    }

    @Override
    public boolean remove(W waiter) {
        boolean removed = levels[waiter.precedence()].remove(waiter);
        if (removed) {
            size--;
        }
        return removed;
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public int countAhead(int precedence) {
        int ahead = 0;
        for (int i = precedence; i < PRECEDENCE_LEVELS; i++) {
            ahead += levels[i].size();
        }
        return ahead;
    }
}
