package org.wingstall.relay.wire;

/**
 * The requests a second that an endpoint takes from all boxes together, as an answer of it states them.
 *
 * <p>{@code if (limit.kind() == AdvertisedLimit.RequestKind.RATE) { hold(limit.requestsPerSecond()); }}
 *
 * @param kind what the answer states
 * @param requestsPerSecond the rate, finite and not negative; 0 unless the kind is {@code RATE}
 * @since 0.9
 */
public record AdvertisedLimit(Kind kind, double requestsPerSecond) {
    /** An answer without a limit. */
    public static final AdvertisedLimit NONE = new AdvertisedLimit(Kind.NONE, 0);

    /** An answer with a limit that is no valid rate. */
    public static final AdvertisedLimit UNREADABLE = new AdvertisedLimit(Kind.UNREADABLE, 0);

    /** What an answer states. */
    public enum Kind {
        /** No limit. */
        NONE,
        /** A rate. */
        RATE,
        /** A limit whose rate can't be read; the endpoint is in need all the same. */
        UNREADABLE
    }

    /** Returns a limit of a rate; unreadable when it is negative or not finite. */
    public static AdvertisedLimit of(double requestsPerSecond) {
        boolean valid = Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0;
        return valid ? new AdvertisedLimit(Kind.RATE, requestsPerSecond) : UNREADABLE;
    }
}
