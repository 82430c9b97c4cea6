package org.wingstall.net.frame;

import org.wingstall.schema.check.InvalidDocumentException;

/**
 * How frames of one class are written as bytes and read back.
 *
 * <p>{@code FrameFormat<PeerFrame> format = FrameFormat.mapped(PeerFrame.class);}
 *
 * @param <T> class of the frames
 * @since 0.6
 */
public interface FrameFormat<T> {
    /** Writes a frame. */
    byte[] write(T frame);

    /**
     * Reads a frame.
     *
     * @param bytes the whole frame
     * @return the frame
     * @throws InvalidDocumentException if the bytes don't fit the class
     */
    T read(byte[] bytes) throws InvalidDocumentException;

    /** Returns the format of a generated class that is found out by reflection, see {@link MessagePack}. */
    static <T> FrameFormat<T> mapped(Class<T> type) {
        return new FrameFormat<>() {
            @Override
            public byte[] write(T frame) {
                return MessagePack.write(frame);
            }

            @Override
            public T read(byte[] bytes) throws InvalidDocumentException {
                return MessagePack.read(bytes, type);
            }
        };
    }
}
