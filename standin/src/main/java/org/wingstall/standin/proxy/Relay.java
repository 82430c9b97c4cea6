package org.wingstall.standin.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wingstall.net.EventLoops;

/** Passes bytes of one connection to the other side, with the faults of its route. */
final class Relay extends ChannelInboundHandlerAdapter {
    private final Route route;
    private final boolean answers;
    /** Shared by both sides. */
    private final AtomicBoolean silent;

    private Channel other;
    private String clientIp = "";
    private long passedBytes;

    /** Creates the side that clients connect to. */
    Relay(Route route) {
        this.route = route;
        this.answers = false;
        this.silent = new AtomicBoolean();
    }

    /** Creates the side that is connected to the target. */
    private Relay(Route route, Channel client, AtomicBoolean silent) {
        this.route = route;
        this.answers = true;
        this.silent = silent;
        this.other = client;
    }

    /** Passes nothing on any more, in both directions, not even the end of a side. */
    void silence() {
        silent.set(true);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (answers) {
            ctx.read();
            return;
        }
        route.opened(ctx.channel());
        clientIp = Route.clientIp(ctx.channel());
        if (route.faults().cuts(clientIp)) {
            ctx.close();
            return;
        }
        Channel client = ctx.channel();
        new Bootstrap()
                .group(client.eventLoop())
                .channel(EventLoops.clientChannel())
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Relay(route, client, silent))
                .connect(route.target())
                .addListener((ChannelFutureListener) connected -> {
                    if (connected.isSuccess()) {
                        other = connected.channel();
                        client.read();
                    } else {
                        client.close();
                    }
                });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        Faults now = route.faults();
        ByteBuf part = (ByteBuf) message;
        if (silent.get()) {
            forward(ctx, part);
            return;
        }
        boolean broken = answers
                && (now.dropAnswers()
                        || now.resetAfterBytes() > 0 && passedBytes + part.readableBytes() > now.resetAfterBytes());
        if (now.cuts(clientIp) || broken) {
            part.release();
            ctx.close();
            return;
        }
        passedBytes += part.readableBytes();
        pass(ctx, part);
    }

    private void pass(ChannelHandlerContext ctx, ByteBuf part) {
        Faults now = route.faults();
        if (now.freeze() || answers && now.freezeAnswers()) {
            ctx.executor().schedule(() -> pass(ctx, part), 20, TimeUnit.MILLISECONDS);
            return;
        }
        if (now.delayMs() > 0) {
            ctx.executor().schedule(() -> forward(ctx, part), now.delayMs(), TimeUnit.MILLISECONDS);
            return;
        }
        forward(ctx, part);
    }

    private void forward(ChannelHandlerContext ctx, ByteBuf part) {
        if (silent.get()) {
            part.release();
            ctx.read();
            return;
        }
        other.writeAndFlush(part).addListener(sent -> {
            if (sent.isSuccess()) {
                ctx.channel().read();
            } else {
                ctx.close();
            }
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (other != null && !silent.get()) {
            other.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
