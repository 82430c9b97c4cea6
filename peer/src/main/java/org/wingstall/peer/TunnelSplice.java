package org.wingstall.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Passes the bytes of one side of a tunnel to the other, no faster than the other side takes them. */
final class TunnelSplice extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final boolean ofEndpoint;
    private boolean broken;

    /** Creates the handler of the side of the endpoint, or of the box that uses the tunnel. */
    TunnelSplice(Channel other, boolean ofEndpoint) {
        this.other = other;
        this.ofEndpoint = ofEndpoint;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        other.write(message, other.voidPromise());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        other.flush();
        if (!other.isWritable()) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        other.config().setAutoRead(ctx.channel().isWritable());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (ofEndpoint && !broken) {
            other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            other.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true;
        ctx.close();
    }
}
