package org.wingstall.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the bytes of all links, both ways, without headers of IP and TCP. */
@ChannelHandler.Sharable
final class ByteCounter extends ChannelDuplexHandler {
    private final AtomicLong received = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();

    long receivedBytes() {
        return received.get();
    }

    long sentBytes() {
        return sent.get();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf part) {
            received.addAndGet(part.readableBytes());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf part) {
            sent.addAndGet(part.readableBytes());
        }
        ctx.write(message, promise);
    }
}
