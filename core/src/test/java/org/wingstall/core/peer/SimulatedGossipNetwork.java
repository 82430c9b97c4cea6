package org.wingstall.core.peer;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Links between boxes that pass news on; each link keeps its order, and links are served at random.
 *
 * @param <N> what is told
 */
public final class SimulatedGossipNetwork<N> {
    private final int boxes;
    private final int maxMessages;
    private final Receiver<N> receiver;
    private final List<Message<N>> inTransit = new ArrayList<>();

    private record Message<N>(int from, int to, N news) {}

    /** Takes what a box is told. */
    public interface Receiver<N> {
        /** A box hears news from another one. */
        void receive(int box, String fromBox, N news);
    }

    /**
     * Creates links between all boxes.
     *
     * @param boxes number of boxes
     * @param mostMessages messages within which news has to come to rest
     * @param receiver takes what is delivered
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

    /** Sends news from a box to all others but one; null for all. */
    public void broadcast(int from, N news, String exceptBox) {
        for (int to = 0; to < boxes; to++) {
            if (to != from && !nameOf(to).equals(exceptBox)) {
                inTransit.add(new Message<>(from, to, news));
            }
        }
    }

    /** Delivers messages until none is under way. */
    public void deliverAll(Random random) {
        assertTrue(deliver(random, maxMessages) < maxMessages, inTransit.size() + " messages still under way");
    }

    /** Delivers messages of random links; returns how many. */
    public int deliver(Random random, int maxMessages) {
        int delivered = 0;
        while (delivered < maxMessages && !inTransit.isEmpty()) {
            Message<N> any = inTransit.get(random.nextInt(inTransit.size()));
            Message<N> first = inTransit.stream()
                    .filter(message -> message.from() == any.from() && message.to() == any.to())
                    .findFirst()
                    .orElseThrow();
            inTransit.remove(first);
            receiver.receive(first.to(), nameOf(first.from()), first.news());
            delivered++;
        }
        return delivered;
    }
}
