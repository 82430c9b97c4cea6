package org.wingstall.soak;

/**
 * A promise that did not hold.
 *
 * @param promise its name
 * @param detail what was seen
 * @since 0.3
 */
public record Violation(String promise, String detail) {}
