package org.wingstall.core.queue;

/** The highest precedence goes first; within it workspaces share by weight, and each workspace's earliest deadline. */
final class PrecedenceQueue<W extends Waiter> implements WaitQueue<W> {
    private static final int LEVELS = 10;

    private final FairLevel<W>[] levels = newLevels();
    private int size;

    @SuppressWarnings({"unchecked", "rawtypes"})
    private static <W extends Waiter> FairLevel<W>[] newLevels() {
        FairLevel[] levels = new FairLevel[LEVELS];
        for (int i = 0; i < LEVELS; i++) {
            levels[i] = new FairLevel();
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
        for (int i = LEVELS - 1; i >= 0; i--) {
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
    public int aheadOf(int precedence) {
        int ahead = 0;
        for (int i = precedence; i < LEVELS; i++) {
            ahead += levels[i].size();
        }
        return ahead;
    }
}
