package org.wingstall.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import org.wingstall.net.frame.FrameCodec;
import org.wingstall.net.http.Connector;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.TunnelReply;
import org.wingstall.schema.peer.TunnelRequest;

/** Asks another box for a tunnel on a new connection, and waits for its reply. */
final class TunnelHandshake extends SimpleChannelInboundHandler<PeerFrame> {
    private final String boxId;
    private final TunnelRequest request;
    private final int timeoutMs;
    private final Connector.Listener listener;
    private boolean ended;

    TunnelHandshake(String boxId, TunnelRequest request, int timeoutMs, Connector.Listener listener) {
        this.boxId = boxId;
        this.request = request;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(Frames.tunnelRequest(request));
        ctx.executor().schedule(() -> timedOut(ctx), timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void timedOut(ChannelHandlerContext ctx) {
        if (!ended) {
            failed(new TunnelException("no reply of '" + boxId + "' within " + timeoutMs + " ms"));
            ctx.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
        TunnelReply reply = frame.getTunnelReply();
        // The other box says hello first, as on each connection that it accepts.
        if (reply == null || ended) {
            return;
        }
        if (reply.isConnected()) {
            ended = true;
            opened(ctx.channel());
        } else {
            failed(new TunnelException("'" + boxId + "' refused: " + reply.getDetail()));
            ctx.close();
        }
    }

    private void opened(Channel channel) {
        channel.attr(Connector.VIA_BOX).set(boxId);
        channel.pipeline().remove(FrameCodec.class);
        channel.pipeline().replace(this, "tunnel", new TunnelEnd(boxId));
        listener.connected(channel);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        failed(new TunnelException("'" + boxId + "' closed the connection"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failed(cause);
        ctx.close();
    }

    void failed(Throwable cause) {
        if (!ended) {
            ended = true;
            listener.failed(cause);
        }
    }
}
