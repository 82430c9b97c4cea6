package org.wingstall.net.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;
import org.wingstall.schema.check.InvalidDocumentException;

/**
 * Turns length-prefixed MessagePack frames into objects of one generated class and back.
 *
 * <p>{@code FrameCodec.addTo(pipeline, PeerFrame.class, FrameFormat.mapped(PeerFrame.class));}
 *
 * @param <T> generated class of the frames
 * @since 0.1
 */
public final class FrameCodec<T> extends MessageToMessageCodec<ByteBuf, T> {
    /** Largest frame, in bytes; a whole configuration of the target size is about 2 MB. */
    public static final int MAX_FRAME_BYTES = 32 << 20;

    /** Bytes of the length before each frame. */
    public static final int LENGTH_BYTES = 4;

    private final FrameFormat<T> format;

    private FrameCodec(Class<T> type, FrameFormat<T> format) {
        super(ByteBuf.class, type);
        this.format = format;
    }

    /**
     * Adds framing and codec to a pipeline.
     *
     * @param pipeline the pipeline
     * @param type generated class of the frames
     * @param format how they are written
     * @param <T> generated class of the frames
     */
    public static <T> void addTo(ChannelPipeline pipeline, Class<T> type, FrameFormat<T> format) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new FrameCodec<>(type, format));
    }

    @Override
    protected void encode(ChannelHandlerContext ctx, T message, List<Object> out) {
        out.add(ctx.alloc().buffer().writeBytes(format.write(message)));
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf frame, List<Object> out) throws InvalidDocumentException {
        out.add(format.read(ByteBufUtil.getBytes(frame)));
    }
}
