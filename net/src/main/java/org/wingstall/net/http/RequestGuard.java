package org.wingstall.net.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Bounds the number of connections, the time that a request takes to arrive, and idle time. */
final class RequestGuard extends ChannelDuplexHandler {
    private static final long LINGER_MS = 1000;

    private final Supplier<HttpLimits> limits;
    private final Rejection.Body rejections;
    private final AtomicInteger connections;
    private ScheduledFuture<?> timer;
    private int unanswered;
    private boolean rejected;
    private FullHttpResponse heldRejection;
    private boolean reading;
    private long unreadBytes;

    RequestGuard(Supplier<HttpLimits> limits, Rejection.Body rejections, AtomicInteger connections) {
        this.limits = limits;
        this.rejections = rejections;
        this.connections = connections;
    }

    /**
     * Answers once all earlier requests of the connection have their answers, since the client takes answers in the order of
     * its requests. Then reads and drops what the client still sends for a while: closing with unread bytes would reset the
     * connection and could take the answer with it.
     */
    static void reject(ChannelHandlerContext ctx, Rejection rejection, Rejection.Body rejections) {
        RequestGuard guard = ctx.pipeline().get(RequestGuard.class);
        if (guard.rejected) {
            return;
        }
        guard.rejected = true;
        guard.disarm();
        byte[] body = rejections.of(rejection);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(rejection.status()), Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpCall.JSON);
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        HttpUtil.setContentLength(response, body.length);
        if (guard.unanswered > 1) {
            guard.heldRejection = response;
        } else {
            send(ctx, response);
        }
    }

    private static void send(ChannelHandlerContext ctx, FullHttpResponse rejection) {
        ctx.writeAndFlush(rejection).addListener(written -> {
            ((SocketChannel) ctx.channel()).shutdownOutput();
            ctx.executor().schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        });
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (connections.incrementAndGet() > limits.get().maxConnections()) {
            reject(ctx, Rejection.TOO_MANY_CONNECTIONS, rejections);
            return;
        }
        arm(ctx, limits.get().requestReadMs(), Rejection.SLOW_REQUEST);
        ctx.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connections.decrementAndGet();
        disarm();
        ReferenceCountUtil.release(heldRejection);
        heldRejection = null;
        ctx.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (rejected) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest) {
            unanswered++;
            disarm();
            reading = true;
        }
        if (message instanceof LastHttpContent) {
            disarm();
            reading = false;
        }
        ctx.fireChannelRead(message);
    }

    /** Most requests arrive at once; only one that is incomplete after a read needs a timer. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (reading && timer == null && !rejected) {
            arm(ctx, limits.get().requestReadMs(), Rejection.SLOW_REQUEST);
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof LastHttpContent && !interim(message)) {
            unanswered--;
            if (unanswered <= 0) {
                arm(ctx, limits.get().idleMs(), null);
            }
        }
        ctx.write(message, promise);
        if (heldRejection != null && unanswered <= 1) {
            FullHttpResponse rejection = heldRejection;
            heldRejection = null;
            send(ctx, rejection);
        }
    }

    private static boolean interim(Object message) {
        return message instanceof HttpResponse head && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private void arm(ChannelHandlerContext ctx, long afterMs, Rejection rejection) {
        disarm();
        timer = ctx.executor().schedule(() -> expire(ctx, rejection), afterMs, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the client has read parts of an answer, and not all of it, since this was asked before. */
    private boolean clientReads(ChannelHandlerContext ctx) {
        ChannelOutboundBuffer outgoing = ctx.channel().unsafe().outboundBuffer();
        long before = unreadBytes;
        unreadBytes = outgoing == null ? 0 : outgoing.totalPendingWriteBytes() - outgoing.currentProgress();
        return unreadBytes > 0 && unreadBytes != before;
    }

    private void disarm() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void expire(ChannelHandlerContext ctx, Rejection rejection) {
        if (rejection == null && clientReads(ctx)) {
            arm(ctx, limits.get().idleMs(), null);
        } else if (rejection == null) {
            ctx.close();
        } else {
            reject(ctx, rejection, rejections);
        }
    }
}
