package org.wingstall.relay.endpoint;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wingstall.schema.peer.RejectionNews;

/**
 * Remembers which rejections other boxes told of, so that each is applied and passed on once. Confined to the request loop.
 *
 * <p>Numbers are not compared: those of a box that starts again with its clock set back are lower than before.
 */
final class HeardRejections {
    /** Time for which a rejection is remembered, in ms; it reaches every box in far less time. */
    private static final long KEPT_MS = 10_000;

    private final Map<Key, Long> heardAtMs = new LinkedHashMap<>();

    private record Key(String boxId, long number) {}

    /** Adds a rejection; returns false if it was heard before. */
    boolean add(RejectionNews news, long nowMs) {
        forgetBefore(nowMs - KEPT_MS);
        return heardAtMs.putIfAbsent(new Key(news.getBox(), news.getNumber()), nowMs) == null;
    }

    private void forgetBefore(long ms) {
        Iterator<Long> oldestFirst = heardAtMs.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next() < ms) {
            oldestFirst.remove();
        }
    }
}
