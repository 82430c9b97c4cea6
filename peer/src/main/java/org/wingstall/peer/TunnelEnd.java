package org.wingstall.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The end of a tunnel at the box that uses it: tells the orderly end of the endpoint's side, an empty frame, from the
 * loss of the box on the way. Without this, an answer that ends with its connection would seem whole when it is not.
 */
final class TunnelEnd extends ChannelInboundHandlerAdapter {
    private final String boxId;
    private boolean ended;

    TunnelEnd(String boxId) {
        this.boxId = boxId;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf part = (ByteBuf) message;
        if (part.isReadable()) {
            ctx.fireChannelRead(part);
            return;
        }
        part.release();
        ended = true;
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (!ended) {
            ctx.fireExceptionCaught(new TunnelException("the tunnel by '" + boxId + "' broke"));
        }
        ctx.fireChannelInactive();
    }
}
