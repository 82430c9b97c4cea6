package org.wingstall.soak;

import java.util.Set;

/**
 * A time in which endpoints of a service said that they are brittle, from when boxes have to heed it.
 *
 * @param endpoints the endpoints
 * @param maxRejectionsPerSecond rejections within a second that each of them bears
 * @param fromMs its begin, in ms of the soak's clock
 * @param untilMs its end, in ms of the soak's clock
 * @since 0.16
 */
record BrittleSpan(Set<String> endpoints, int maxRejectionsPerSecond, long fromMs, long untilMs) {}
