package org.wingstall.net.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One request on its way, and its answer.
 *
 * <p>{@code exchange.cancel();} ends it without a word to its listener and closes its connection.
 *
 * @since 0.1
 */
public final class HttpExchange {
    private final OutgoingRequest request;
    private final ResponseListener listener;
    private final HttpClient client;
    private Channel channel;
    private boolean written;
    private boolean ended;
    private boolean keepAlive = true;

    HttpExchange(OutgoingRequest request, ResponseListener listener, HttpClient client) {
        this.request = request;
        this.listener = listener;
        this.client = client;
    }

    /** Ends the exchange; the listener hears nothing more. */
    public void cancel() {
        ended = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Returns whether a byte of the request was handed to a connection. */
    public boolean requestWritten() {
        return written;
    }

    void start(Channel connected) {
        if (ended) {
            connected.close();
            return;
        }
        channel = connected;
        connected.pipeline().get(ExchangeHandler.class).begin(this, request.address(), client);
        written = true;
        listener.requestWritten();
        connected.writeAndFlush(encode()).addListener(sent -> {
            if (!sent.isSuccess()) {
                failed(TransportException.Kind.RESET, "the request could not be sent whole");
            }
        });
    }

    void connectFailed(Throwable cause) {
        failed(TransportException.Kind.CONNECT, String.valueOf(cause.getMessage()));
    }

    void head(HttpResponse response) {
        keepAlive = HttpUtil.isKeepAlive(response);
        if (!ended) {
            listener.head(response.status().code(), response.headers());
        }
    }

    void content(HttpContent part) {
        if (!ended) {
            listener.content(part.content());
        }
    }

    /** Returns whether the connection may be kept. */
    boolean complete() {
        if (!ended) {
            ended = true;
            listener.complete();
        }
        return keepAlive && !request.freshConnection();
    }

    void failed(TransportException.Kind kind, String detail) {
        if (ended) {
            return;
        }
        ended = true;
        if (channel != null) {
            channel.close();
        }
        listener.failed(new TransportException(kind, written, detail));
    }

    private FullHttpRequest encode() {
        FullHttpRequest encoded = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.path(),
                Unpooled.wrappedBuffer(request.body()));
        encoded.headers().set(HttpHeaderNames.HOST, host());
        encoded.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpCall.JSON);
        HttpUtil.setContentLength(encoded, request.body().length);
        request.headers().forEach((name, value) -> encoded.headers().set(name, value));
        return encoded;
    }

    private String host() {
        return request.address().getHostString() + ":" + request.address().getPort();
    }
}
