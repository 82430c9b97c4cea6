package org.wingstall.core.queue;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class WaitQueueTest {
    private record Entry(int precedence, String workspace, double weight, long deadlineMs) implements Waiter {}

    private final WaitQueue<Entry> queue = new PrecedenceQueue<>();

    @Test
    public void servesHigherPrecedenceFirst() {
        Entry low = new Entry(1, "a", 1, 10);
        Entry high = new Entry(7, "a", 1, 99);
        queue.add(low);
        queue.add(high);
        assertEquals(queue.countAhead(5), 1);
        assertEquals(queue.poll(), high);
        assertEquals(queue.poll(), low);
        assertNull(queue.poll());
    }

    @Test
    public void workspacesShareByWeightRegardlessOfQueueLength() {
        WaitQueue<Entry> shared = new PrecedenceQueue<>();
        for (int i = 0; i < 300; i++) {
            shared.add(new Entry(3, "large", 1, i));
        }
        for (int i = 0; i < 60; i++) {
            shared.add(new Entry(3, "small", 2, i));
        }
        int small = 0;
        for (int i = 0; i < 60; i++) {
            small += shared.poll().workspace().equals("small") ? 1 : 0;
        }
        assertEquals(small, 40, 1);
    }

    @Test
    public void servesEarliestDeadlineFirstAndSkipsRemovedWaiters() {
        WaitQueue<Entry> one = new PrecedenceQueue<>();
        Entry late = new Entry(2, "w", 1, 900);
        Entry soon = new Entry(2, "w", 1, 100);
        Entry gone = new Entry(2, "w", 1, 50);
        one.add(late);
        one.add(soon);
        one.add(gone);
        assertTrue(one.remove(gone));
        assertFalse(one.remove(gone));
        assertEquals(one.poll(), soon);
        assertEquals(one.size(), 1);
    }
}
