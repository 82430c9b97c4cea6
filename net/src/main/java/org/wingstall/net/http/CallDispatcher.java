package org.wingstall.net.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;

/**
 * Hands the requests of a connection to the handler one after another. A connection that is to end does so with the answer to
 * the last request that came before its end was announced; later ones are not handled.
 */
final class CallDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MOST_PIPELINED = 16;

    private final HttpHandler handler;
    private final Rejection.Body rejections;
    private final ArrayDeque<FullHttpRequest> pipelined = new ArrayDeque<>();
    private final HttpCall.ConnectionEnd connectionEnd;
    private HttpCall current;
    private int unwrittenAnswers;
    private boolean ended;
    private boolean closesWhenIdle;

    CallDispatcher(HttpHandler handler, Rejection.Body rejections, HttpCall.ConnectionEnd ofServer) {
        this.handler = handler;
        this.rejections = rejections;
        this.connectionEnd = new HttpCall.ConnectionEnd() {
            @Override
            public boolean wanted() {
                return pipelined.isEmpty() && ofServer.wanted();
            }

            @Override
            public boolean required() {
                return pipelined.isEmpty() && ofServer.required();
            }
        };
    }

    /** Closes the connection as soon as no call is being answered and all answers were written. */
    void closeWhenIdle(ChannelHandlerContext ctx) {
        closesWhenIdle = true;
        closeIfIdle(ctx);
    }

    private void closeIfIdle(ChannelHandlerContext ctx) {
        if (closesWhenIdle && current == null && pipelined.isEmpty() && unwrittenAnswers == 0) {
            ctx.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (ended) {
            return;
        }
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
        HttpCall call =
                new HttpCall(ctx.channel(), request, (written, last) -> answered(ctx, written, last), connectionEnd);
        current = call;
        handler.handle(call);
    }

    private void answered(ChannelHandlerContext ctx, ChannelFuture written, boolean last) {
        current = null;
        unwrittenAnswers++;
        written.addListener(done -> {
            unwrittenAnswers--;
            closeIfIdle(ctx);
        });
        if (last) {
            ended = true;
            dropPipelined();
        } else {
            dispatchNext(ctx);
        }
    }

    private void dispatchNext(ChannelHandlerContext ctx) {
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

    private void dropPipelined() {
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
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
        dropPipelined();
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
