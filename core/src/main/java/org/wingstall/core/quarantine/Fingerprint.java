package org.wingstall.core.quarantine;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;

/**
 * Identifies what may crash endpoints, whichever box receives it: requests with equal content, whatever request
 * identifier they carry, or a part that prompts have in common. The content itself is not stored.
 *
 * <p>{@code Fingerprint.of("canteen", "POST", "/menu?day=3", body).hex()}
 *
 * @param hex of a request, 128 bits of a hash of workspace, method, path with query, and body, in hex; of a part of
 * prompts, {@code part:} and its service, model and identifier
 * @since 0.7
 */
public record Fingerprint(String hex) {
    private static final String PART_PREFIX = "part:";

    /**
     * Longest text, in characters, that is kept as it is. Longer ones, and those with characters other than letters,
     * digits and {@code :._-}, are hashed: they are keys of rows, and operators type them.
     */
    private static final int MAX_READABLE = 120;

    /**
     * Returns the fingerprint of a request.
     *
     * @param workspace workspace of the caller's key; empty without one
     * @param method HTTP method, or a substitute such as {@code STAGE}
     * @param target path and query
     * @param body the body
     */
    public static Fingerprint of(String workspace, String method, String target, byte[] body) {
        HashValue128 hash = Hashing.murmur3_128()
                .hashStream()
                .putString(workspace)
                .putString(method)
                .putString(target)
                .putByteArray(body)
                .get();
        return new Fingerprint(hex(hash));
    }

    /**
     * Returns the fingerprint of a part of prompts; it has a meaning for one service and model only.
     *
     * @param service service whose endpoints read the prompt
     * @param model the model; empty when the request names none
     * @param partId identifier of the part
     */
    public static Fingerprint ofPart(String service, String model, String partId) {
        String text = service + ":" + model + ":" + partId;
        return new Fingerprint(
                PART_PREFIX + (readable(text) ? text : hex(Hashing.murmur3_128().hashCharsTo128Bits(text))));
    }

    private static boolean readable(String text) {
        if (text.length() > MAX_READABLE) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char next = text.charAt(i);
            boolean allowed = next >= 'a' && next <= 'z'
                    || next >= 'A' && next <= 'Z'
                    || next >= '0' && next <= '9'
                    || next == ':'
                    || next == '-'
                    || next == '.'
                    || next == '_';
            if (!allowed) {
                return false;
            }
        }
        return true;
    }

    private static String hex(HashValue128 hash) {
        return HexFormat.of().formatHex(hash.toByteArray());
    }

    // Written out like hashCode: the generated methods of a record are made at its first use, which takes several ms.
    @Override
    public boolean equals(Object other) {
        return other instanceof Fingerprint that && hex.equals(that.hex);
    }

    @Override
    public int hashCode() {
        return hex.hashCode();
    }

    /** Returns whether this identifies a part of prompts rather than a request. */
    boolean isPart() {
        return hex.startsWith(PART_PREFIX);
    }

    @Override
    public String toString() {
        return hex;
    }
}
