package org.wingstall.soak;

/**
 * A request whose prompt shares parts with those that crash endpoints, but not the part that does.
 *
 * @param box box it was sent to
 * @param sentMs when it was sent, in ms of the soak's clock
 * @param endedMs when the answer was whole or the connection broke, in ms of the soak's clock
 * @param served whether it was answered
 */
record PromptCall(String box, long sentMs, long endedMs, boolean served) {}
