package org.wingstall.relay.wire;

/**
 * The rate limit that an endpoint advertises in a response: requests a second from all boxes together.
 *
 * <p>{@code if (limit.kind() == AdvertisedLimit.Kind.RATE) { limitTo(limit.requestsPerSecond()); }}
 *
 * @param kind what the response advertises
 * @param requestsPerSecond the rate, finite and not negative; 0 unless the kind is {@code RATE}
 * @since 0.9
 */
public record AdvertisedLimit(Kind kind, double requestsPerSecond) {
    /** The value for a response without a limit. */
    public static final AdvertisedLimit NONE = new AdvertisedLimit(Kind.NONE, 0);

    /** The value for a response whose limit is not a valid rate. */
    public static final AdvertisedLimit UNREADABLE = new AdvertisedLimit(Kind.UNREADABLE, 0);

    /** What a response advertises. */
    public enum Kind {
        /** No limit. */
        NONE,
        /** A rate. */
        RATE,
        /** A limit whose rate can't be read; the endpoint is overloaded all the same. */
        UNREADABLE
    }

    /** Returns a limit with the given rate; unreadable when the rate is negative or not finite. */
    public static AdvertisedLimit of(double requestsPerSecond) {
        boolean valid = Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0;
        return valid ? new AdvertisedLimit(Kind.RATE, requestsPerSecond) : UNREADABLE;
    }
}
