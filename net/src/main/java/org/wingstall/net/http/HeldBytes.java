package org.wingstall.net.http;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the bytes of bodies that a client holds: until they are whole, and until their readers have taken them. */
final class HeldBytes {
    /** Longest body that is always taken, in bytes, so that long ones that nobody reads don't keep short ones out. */
    private static final int SHORT_BODY_BYTES = 16 << 10;

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
        checkLength("the body", before + more);
        if (all > limits.maxHeldBytes() && before + more > SHORT_BODY_BYTES) {
            throw new BodyTooLongException("the bodies that are held have", limits.maxHeldBytes());
        }
    }

    /** Counts a whole body that waits for its reader, and has to be released when it was taken. */
    void holdWhole(long count) {
        bytes.addAndGet(count);
    }

    /**
     * Checks the length of a body, held or not.
     *
     * @param body what the body belongs to
     * @param length its bytes so far
     * @throws BodyTooLongException if there are too many
     */
    void checkLength(String body, long length) throws BodyTooLongException {
        if (length > limits.maxBodyBytes()) {
            throw new BodyTooLongException(body + " has", limits.maxBodyBytes());
        }
    }
}
