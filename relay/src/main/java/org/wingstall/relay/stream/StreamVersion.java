package org.wingstall.relay.stream;

/**
 * The software version at which a request has to run, and how it was learnt.
 *
 * <p>{@code if (!stream.known()) { refuse(); }}
 *
 * @param source how it was learnt
 * @param service service that began the stream; empty if any will do
 * @param version the version; empty if any will do, or if it is not known
 * @param ageMs time since the stream was begun, in ms; 0 if not known
 * @param othersMayKnow whether it may be learnt later: from boxes that gave no reply, or from a list that could not be read
 * @since 0.16
 */
public record StreamVersion(Source source, String service, String version, long ageMs, boolean othersMayKnow) {
    /** A stream that begins, or no stream at all. */
    public static final StreamVersion ANY = new StreamVersion(Source.NOT_RESUMED, "", "", 0, false);

    /** Ways to learn the version. */
    public enum Source {
        /** The request resumes no stream. */
        NOT_RESUMED("not-resumed"),
        /** This box began the stream. */
        OWN_RECORD("own-record"),
        /** Another box began the stream and told which version did. */
        PEER_RECORD("peer-record"),
        /** There has been no other version since the stream can have begun. */
        SINGLE_VERSION("single-version"),
        /** It could not be learnt. */
        UNKNOWN("unknown");

        private final String code;

        Source(String code) {
            this.code = code;
        }

        /** Returns the code that counters and logs show. */
        public String code() {
            return code;
        }
    }

    /** Returns whether the request may run: at any version, or at one that is known. */
    public boolean known() {
        return source != Source.UNKNOWN;
    }

    /** Returns whether the request has to run at one version. */
    public boolean bound() {
        return known() && source != Source.NOT_RESUMED;
    }

    /** Describes that nobody knows which version began a stream. */
    public String unknownDetail(String streamId) {
        String whom = othersMayKnow ? "no box that could be asked" : "no box";
        return whom + " knows which version began the stream '" + streamId + "'";
    }
}
