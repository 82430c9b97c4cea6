package org.wingstall.standin.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicInteger;
import org.wingstall.net.ConnectionGate;

/**
 * Lets an endpoint send some of its answers once more: late, in the place where the next answer on the connection is due.
 *
 * <p>{@code worker.surplusAnswers().repeatOneIn(5); ... worker.surplusAnswers().repeatOneIn(0);}
 *
 * @since 0.19
 */
public final class SurplusAnswers implements ConnectionGate {
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private volatile int oneIn;

    /**
     * Sets how many answers come once more from now on.
     *
     * @param answers one in so many; 0 for none
     */
    public void repeatOneIn(int answers) {
        oneIn = answers;
    }

    /** Returns the number of answers that were sent once more. */
    public int sent() {
        return sent.get();
    }

    @Override
    public boolean admit(Channel connection) {
        connection.pipeline().addLast(new Repeater());
        return true;
    }

    @Override
    public boolean overloaded() {
        return false;
    }

    private boolean repeats() {
        int every = oneIn;
        return every > 0 && requests.incrementAndGet() % every == 0;
    }

    /** Sees the bytes of a connection. A request never comes before the answer to the one before it is whole. */
    private final class Repeater extends ChannelDuplexHandler {
        private final ByteArrayOutputStream lastAnswer = new ByteArrayOutputStream();

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            lastAnswer.writeBytes(ByteBufUtil.getBytes((ByteBuf) message));
            ctx.write(message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (lastAnswer.size() > 0 && repeats()) {
                sent.incrementAndGet();
                ctx.writeAndFlush(Unpooled.wrappedBuffer(lastAnswer.toByteArray()));
            }
            lastAnswer.reset();
            ctx.fireChannelRead(bytes);
        }
    }
}
