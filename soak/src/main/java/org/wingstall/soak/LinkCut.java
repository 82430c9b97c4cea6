package org.wingstall.soak;

import java.util.Set;

/**
 * A time in which boxes were partitioned from all endpoints, while callers, the store and other boxes reached them.
 *
 * @param boxes the boxes
 * @param fromMs its begin, in ms of the soak's clock
 * @param untilMs its end, in ms of the soak's clock
 * @since 0.15
 */
record LinkCut(Set<String> boxes, long fromMs, long untilMs) {}
