package org.wingstall.net.http;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the bytes of bodies that a client holds until they are whole. */
final class HeldBytes {
    private final AnswerLimits limits;
    private final AtomicLong bytes = new AtomicLong();

    HeldBytes(AnswerLimits limits) {
        this.limits = limits;
    }

    long bytes() {
        return bytes.get();
    }

    void release(long count) {
        bytes.addAndGet(-count);
    }

    /**
     * Counts further bytes of a body, which have to be released at its end also if they are too many.
     *
     * @param before bytes of the body so far
     * @param more bytes that came
     * @throws BodyTooLongException if they can't be held
     */
    void hold(long before, int more) throws BodyTooLongException {
        long all = bytes.addAndGet(more);
        if (before + more > limits.maxBodyBytes()) {
            throw new BodyTooLongException("the body has", limits.maxBodyBytes());
        }
        if (all > limits.maxHeldBytes()) {
            throw new BodyTooLongException("the bodies that are being read have", limits.maxHeldBytes());
        }
    }
}
