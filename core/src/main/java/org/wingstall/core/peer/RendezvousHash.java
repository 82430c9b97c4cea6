package org.wingstall.core.peer;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * RendezvousHash hashing: all who know the same boxes choose the same ones, and a box lost moves only what it held.
 *
 * <p>{@code String batcher = RendezvousHash.top("claims", boxes, 1).get(0);}
 *
 * @since 0.1
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Chooses boxes for a purpose.
     *
     * @param purpose what they are chosen for
     * @param boxes boxes to choose from
     * @param count how many to choose at most
     * @return the chosen boxes, the first choice first
     */
    public static List<String> top(String purpose, Collection<String> boxes, int count) {
        Comparator<String> byScore = Comparator.comparingLong(box -> score(purpose, box));
        return boxes.stream()
                .sorted(byScore.reversed().thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }

    /**
     * Returns the place of a box in the order for a purpose; 0 for the first choice.
     *
     * @param purpose what boxes are chosen for
     * @param boxes boxes to choose from
     * @param box the box
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
