package org.wingstall.core.peer;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses boxes by rendezvous hashing: callers that know the same boxes choose the same ones, and the loss of a box
 * reassigns only what was assigned to it.
 *
 * <p>{@code String batcher = RendezvousHash.top("claims", boxes, 1).get(0);}
 *
 * @since 0.1
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the boxes with the highest scores for a purpose.
     *
     * @param purpose key that is hashed with each box identifier
     * @param boxes identifiers of the boxes to choose from
     * @param count maximum number of boxes to choose
     * @return identifiers of the chosen boxes, highest score first
     */
    public static List<String> top(String purpose, Collection<String> boxes, int count) {
        List<Scored> scored = new ArrayList<>(boxes.size());
        for (String box : boxes) {
            scored.add(new Scored(box, score(purpose, box)));
        }
        scored.sort(Scored.HIGHEST_FIRST);
        List<String> first = new ArrayList<>(count);
        for (Scored box : scored.subList(0, Math.min(count, scored.size()))) {
            first.add(box.boxId);
        }
        return Collections.unmodifiableList(first);
    }

    /** A box with its score, which is computed once and not in each comparison of the sort. */
    private record Scored(String boxId, long score) {
        private static final Comparator<Scored> HIGHEST_FIRST = (one, other) -> {
            int byScore = Long.compare(other.score, one.score);
            return byScore != 0 ? byScore : one.boxId.compareTo(other.boxId);
        };
    }

    /**
     * Returns the rank of a box for a purpose, where 0 is the highest score.
     *
     * @param purpose key that is hashed with each box identifier
     * @param boxes identifiers of the boxes to choose from
     * @param box identifier of the box
     */
    public static int rank(String purpose, Collection<String> boxes, String box) {
        long own = score(purpose, box);
        int before = 0;
        for (String other : boxes) {
            long score = score(purpose, other);
            boolean ahead = score > own || score == own && other.compareTo(box) < 0;
            before += ahead ? 1 : 0;
        }
        return before;
    }

    private static long score(String purpose, String box) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(purpose)
                .putString(box)
                .getAsLong();
    }
}
