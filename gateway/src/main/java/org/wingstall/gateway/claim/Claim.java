package org.wingstall.gateway.claim;

import org.wingstall.schema.table.ClaimRow;

/**
 * A claim that this gateway's attempt wants or holds.
 *
 * @param key key of the claim row
 * @param row the row in state CLAIMED
 * @param version version of the row once it is held; 0 before
 * @since 0.1
 */
public record Claim(String key, ClaimRow row, long version) {}
