package org.wingstall.core.quarantine;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;

/**
 * Identifies requests with equal content, whichever box receives them and whatever request identifier they carry: a
 * hash of workspace, method, path with query, and body. The body itself is not stored.
 *
 * <p>{@code Fingerprint.of("canteen", "POST", "/menu?day=3", body).hex()}
 *
 * @param hex 128 bits of a hash, in hex
 * @since 0.7
 */
public record Fingerprint(String hex) {
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
        return new Fingerprint(HexFormat.of().formatHex(hash.toByteArray()));
    }

    @Override
    public String toString() {
        return hex;
    }
}
