package org.wingstall.core.peer;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulates links between boxes that forward messages: each link delivers in FIFO order, and the next link is chosen at
 * random.
 *
 * @param <N> type of the payload
 */
public final class SimulatedGossipNetwork<N> {
    private final int boxes;
    private final int maxMessages;
    private final Receiver<N> receiver;
    private final List<Message<N>> inTransit = new ArrayList<>();

    private record Message<N>(int from, int to, N payload) {}

    /** Receives delivered messages. */
    public interface Receiver<N> {
        /** Called when a message from another box is delivered to a box. */
        void receive(int box, String fromBox, N payload);
    }

    /**
     * Creates links between all boxes.
     *
     * @param boxes number of boxes
     * @param maxMessages maximum number of messages after which forwarding must have ended
     * @param receiver receives delivered messages
     */
    public SimulatedGossipNetwork(int boxes, int maxMessages, Receiver<N> receiver) {
        this.boxes = boxes;
        this.maxMessages = maxMessages;
        this.receiver = receiver;
    }

    /** Returns the name of a box. */
    public static String nameOf(int box) {
        return "box-" + box;
    }

    /** Sends a message from a box to all others except one; null excludes none. */
    public void broadcast(int from, N payload, String exceptBox) {
        for (int to = 0; to < boxes; to++) {
            if (to != from && !nameOf(to).equals(exceptBox)) {
                inTransit.add(new Message<>(from, to, payload));
            }
        }
    }

    /** Delivers messages until none is in transit. */
    public void deliverAll(Random random) {
        assertTrue(deliver(random, maxMessages) < maxMessages, inTransit.size() + " messages still in transit");
    }

    /** Delivers messages from random links and returns how many were delivered. */
    public int deliver(Random random, int limit) {
        int delivered = 0;
        while (delivered < limit && !inTransit.isEmpty()) {
            Message<N> any = inTransit.get(random.nextInt(inTransit.size()));
            Message<N> first = inTransit.stream()
                    .filter(message -> message.from() == any.from() && message.to() == any.to())
                    .findFirst()
                    .orElseThrow();
            inTransit.remove(first);
            receiver.receive(first.to(), nameOf(first.from()), first.payload());
            delivered++;
        }
        return delivered;
    }
}
