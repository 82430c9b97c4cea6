package org.wingstall.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Closes a connection on which bytes come while no answer is due: they would be read as part of the next one. */
final class UnsolicitedBytes extends ChannelInboundHandlerAdapter {
    private final ExchangeHandler exchanges;

    UnsolicitedBytes(ExchangeHandler exchanges) {
        this.exchanges = exchanges;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        if (exchanges.idle()) {
            ReferenceCountUtil.release(bytes);
            ctx.close();
        } else {
            ctx.fireChannelRead(bytes);
        }
    }
}
