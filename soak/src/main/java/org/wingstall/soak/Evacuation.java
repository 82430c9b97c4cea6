package org.wingstall.soak;

/**
 * A failure domain that the operator had evacuated.
 *
 * @param domain the failure domain
 * @param fromMs when the store had taken the mark, in ms of the soak's clock
 * @param untilMs when the operator took the domain back, in ms of the soak's clock
 * @since 0.8
 */
record Evacuation(String domain, long fromMs, long untilMs) {}
