package org.wingstall.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Collects a request whole, and turns it away with a typed body when it is too large. */
final class BoundedAggregator extends HttpObjectAggregator {
    private final Rejection.Body rejections;

    BoundedAggregator(int maxBodyBytes, Rejection.Body rejections) {
        super(maxBodyBytes);
        this.rejections = rejections;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        RequestGuard.reject(ctx, Rejection.BODY_TOO_LARGE, rejections);
    }

    @Override
    protected Object newContinueResponse(
            HttpMessage start, int maxContentLength, io.netty.channel.ChannelPipeline pipeline) {
        Object response = super.newContinueResponse(start, maxContentLength, pipeline);
        boolean refused = response instanceof io.netty.handler.codec.http.HttpResponse head
                && head.status().code() == Rejection.BODY_TOO_LARGE.status();
        if (refused) {
            rejections.of(Rejection.BODY_TOO_LARGE);
        }
        return response;
    }
}
