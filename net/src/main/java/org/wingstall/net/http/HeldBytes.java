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
     * @return why they can't be held; null if they can
     */
    String hold(long before, int more) {
        long all = bytes.addAndGet(more);
        if (before + more > limits.maxBodyBytes()) {
            return "the body has more than " + limits.maxBodyBytes() + " bytes";
        }
        return all > limits.maxHeldBytes()
                ? "the bodies that are being read have more than " + limits.maxHeldBytes() + " bytes"
                : null;
    }
}
