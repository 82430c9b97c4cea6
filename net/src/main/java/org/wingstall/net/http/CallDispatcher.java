package org.wingstall.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;

/** Hands the requests of a connection to the handler one after another. */
final class CallDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MOST_PIPELINED = 16;

    private final HttpHandler handler;
    private final Rejection.Body rejections;
    private final ArrayDeque<FullHttpRequest> pipelined = new ArrayDeque<>();
    private final HttpCall.ConnectionEnd connectionEnd;
    private HttpCall current;

    CallDispatcher(HttpHandler handler, Rejection.Body rejections, HttpCall.ConnectionEnd connectionEnd) {
        this.handler = handler;
        this.rejections = rejections;
        this.connectionEnd = connectionEnd;
    }

    /** Returns whether no call is being answered on the connection. */
    boolean idle() {
        return current == null;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            RequestGuard.reject(ctx, Rejection.BAD_HTTP, rejections);
            return;
        }
        if (current == null) {
            dispatch(ctx, request);
        } else if (pipelined.size() < MOST_PIPELINED) {
            pipelined.add(request.retain());
        } else {
            ctx.close();
        }
    }

    private void dispatch(ChannelHandlerContext ctx, FullHttpRequest request) {
        HttpCall call = new HttpCall(ctx.channel(), request, () -> next(ctx), connectionEnd);
        current = call;
        handler.handle(call);
    }

    private void next(ChannelHandlerContext ctx) {
        current = null;
        FullHttpRequest request = pipelined.poll();
        if (request == null) {
            return;
        }
        try {
            dispatch(ctx, request);
        } finally {
            request.release();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (current != null) {
            current.writabilityChanged();
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
        if (current != null) {
            current.disconnected();
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
