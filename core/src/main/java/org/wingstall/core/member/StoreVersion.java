package org.wingstall.core.member;

/**
 * A version of the platform's store. A store that is restored from a copy gives out numbers again, so numbers compare
 * only within one era.
 *
 * <p>{@code if (read.isAfter(known)) { apply(read); }}
 *
 * @param era how often the store was restored; 0 if that is not known
 * @param number number of the version, which rises within an era
 * @since 0.10
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {
    /** The version before the first read. */
    public static final StoreVersion NONE = new StoreVersion(0, 0);

    // Written out like hashCode: the generated methods of a record are made at its first use, which takes several ms.
    @Override
    public boolean equals(Object other) {
        return other instanceof StoreVersion that && era == that.era && number == that.number;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(era) + Long.hashCode(number);
    }

    @Override
    public int compareTo(StoreVersion other) {
        int byEra = Long.compare(era, other.era);
        return byEra != 0 ? byEra : Long.compare(number, other.number);
    }

    /** Returns whether this version is later than another one. */
    public boolean isAfter(StoreVersion other) {
        return compareTo(other) > 0;
    }

    /** Returns whether the store was restored between another version and this one. */
    public boolean isRestoredSince(StoreVersion other) {
        return !other.equals(NONE) && era > other.era();
    }

    /** Returns this version; of the other one's era if its own is not known, as that of a box that tells no eras. */
    public StoreVersion orEraOf(StoreVersion other) {
        return era == 0 ? new StoreVersion(other.era(), number) : this;
    }
}
