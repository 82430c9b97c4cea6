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
public final class GossipNetwork<N> {
    private final int boxes;
    private final int mostMessages;
    private final Receiver<N> receiver;
    private final List<Message<N>> underWay = new ArrayList<>();

    private record Message<N>(int from, int to, N news) {}

    /** Takes what a box is told. */
    public interface Receiver<N> {
        /** A box hears news from another one. */
        void heard(int box, String fromBox, N news);
    }

    /**
     * Creates links between all boxes.
     *
     * @param boxes number of boxes
     * @param mostMessages messages within which news has to come to rest
     * @param receiver takes what is delivered
     */
    public GossipNetwork(int boxes, int mostMessages, Receiver<N> receiver) {
        this.boxes = boxes;
        this.mostMessages = mostMessages;
        this.receiver = receiver;
    }

    /** Returns the name of a box. */
    public static String nameOf(int box) {
        return "box-" + box;
    }

    /** Sends news from a box to all others but one; null for all. */
    public void tell(int from, N news, String exceptBox) {
        for (int to = 0; to < boxes; to++) {
            if (to != from && !nameOf(to).equals(exceptBox)) {
                underWay.add(new Message<>(from, to, news));
            }
        }
    }

    /** Delivers messages until none is under way. */
    public void deliverAll(Random random) {
        assertTrue(deliver(random, mostMessages) < mostMessages, underWay.size() + " messages still under way");
    }

    /** Delivers messages of random links; returns how many. */
    public int deliver(Random random, int most) {
        int delivered = 0;
        while (delivered < most && !underWay.isEmpty()) {
            Message<N> any = underWay.get(random.nextInt(underWay.size()));
            Message<N> first = underWay.stream()
                    .filter(message -> message.from() == any.from() && message.to() == any.to())
                    .findFirst()
                    .orElseThrow();
            underWay.remove(first);
            receiver.heard(first.to(), nameOf(first.from()), first.news());
            delivered++;
        }
        return delivered;
    }
}
