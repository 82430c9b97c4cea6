package org.wingstall.core.queue;

import java.util.Iterator;
import java.util.LinkedHashSet;

/** Serves waiters in the sequence of their arrival; a baseline. */
final class FifoWaitQueue<W extends Waiter> implements WaitQueue<W> {
    private final LinkedHashSet<W> waiters = new LinkedHashSet<>();

    @Override
    public void add(W waiter) {
        waiters.add(waiter);
    }

    @Override
    public W poll() {
        Iterator<W> first = waiters.iterator();
        if (!first.hasNext()) {
            return null;
        }
        W waiter = first.next();
        first.remove();
        return waiter;
    }

    @Override
    public boolean remove(W waiter) {
        return waiters.remove(waiter);
    }

    @Override
    public int size() {
        return waiters.size();
    }

    @Override
    public int countAhead(int precedence) {
        return waiters.size();
    }
}
