package org.wingstall.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.wingstall.schema.check.Json;

/**
 * One HTTP request and the means to answer it; all methods are for the event loop of its connection.
 *
 * <p>{@code call.respond(200, HttpCall.JSON, Json.write(answer));}
 *
 * @since 0.1
 */
public final class HttpCall {
    /** Content type of JSON bodies. */
    public static final String JSON = "application/json";

    /** Content type of event streams. */
    public static final String EVENT_STREAM = "text/event-stream";

    private final Channel channel;
    private final String method;
    private final String target;
    private final QueryStringDecoder uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean keepAlive;
    private final boolean chunks;
    private final Answered answeredListener;
    private final ConnectionEnd connectionEnd;
    private Runnable onDisconnect = () -> {};
    private Runnable onWritable = () -> {};
    private boolean streaming;
    private boolean answered;
    private boolean endAnnounced;

    /** Told when an answer is given whole. */
    interface Answered {
        /**
         * The answer was handed to the connection.
         *
         * @param written completes when its last byte was written
         * @param last whether the connection ends with it
         */
        void answered(ChannelFuture written, boolean last);
    }

    /** Tells whether connections end with their answers. */
    interface ConnectionEnd {
        /** Returns whether an answer that begins should be the last one. */
        boolean wanted();

        /** Returns whether each answer is the last one, also one that did not say so when it began. */
        boolean required();
    }

    HttpCall(Channel channel, FullHttpRequest request, Answered answeredListener, ConnectionEnd connectionEnd) {
        this.channel = channel;
        this.method = request.method().name();
        this.target = request.uri();
        this.uri = new QueryStringDecoder(request.uri());
        this.headers = request.headers();
        this.body = ByteBufUtil.getBytes(request.content());
        this.connectionEnd = connectionEnd;
        this.keepAlive = HttpUtil.isKeepAlive(request);
        this.chunks = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        this.answeredListener = answeredListener;
    }

    /** Returns the method in capitals. */
    public String method() {
        return method;
    }

    /** Returns the path without its query. */
    public String path() {
        return uri.path();
    }

    /** Returns the first value of a query parameter, or the default. */
    public String query(String name, String otherwise) {
        List<String> values = uri.parameters().get(name);
        return values == null ? otherwise : values.get(0);
    }

    /** Returns path and query as the client sent them. */
    public String target() {
        return target;
    }

    /** Returns all headers. */
    public HttpHeaders headers() {
        return headers;
    }

    /** Returns a header's value, or null. */
    public String header(String name) {
        return headers.get(name);
    }

    /** Returns the body's bytes. */
    public byte[] body() {
        return body;
    }

    /** Returns the event loop that the call belongs to. */
    public EventLoop eventLoop() {
        return channel.eventLoop();
    }

    /** Returns whether an answer was given whole. */
    public boolean answered() {
        return answered;
    }

    /** Sets what to do when the client goes away before it has its answer. */
    public void onDisconnect(Runnable action) {
        onDisconnect = action;
    }

    void disconnected() {
        if (!answered) {
            answered = true;
            onDisconnect.run();
        }
    }

    /** Answers with a whole body. */
    public void respond(int status, String contentType, byte[] content) {
        respond(status, contentType, content, Map.of());
    }

    /** Answers with a whole body and headers of its own. */
    public void respond(int status, String contentType, byte[] content, Map<String, String> extraHeaders) {
        if (answered) {
            return;
        }
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        HttpUtil.setContentLength(response, content.length);
        setHeaders(response, contentType);
        extraHeaders.forEach((name, value) -> response.headers().set(name, value));
        finish(response);
    }

    /** Answers with a JSON body. */
    public void respondJson(int status, Object document) {
        respond(status, JSON, Json.write(document));
    }

    /** Returns whether an event stream was begun. */
    public boolean streaming() {
        return streaming;
    }

    /** Begins an event stream. */
    public void beginEvents() {
        if (answered || streaming) {
            return;
        }
        streaming = true;
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        setHeaders(head, EVENT_STREAM);
        setStreamFraming(head);
        channel.writeAndFlush(head, channel.voidPromise());
    }

    /** Sends one event of a stream. */
    public void event(String name, byte[] data) {
        if (answered) {
            return;
        }
        ByteBuf text = channel.alloc().buffer(name.length() + data.length + 16);
        text.writeCharSequence("event: " + name + "\ndata: ", StandardCharsets.UTF_8);
        text.writeBytes(data);
        text.writeCharSequence("\n\n", StandardCharsets.US_ASCII);
        channel.writeAndFlush(new DefaultHttpContent(text), channel.voidPromise());
    }

    /** Ends an event stream. */
    public void endEvents() {
        if (!answered) {
            finish(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    /** Sends a whole answer with the headers given, its length added. */
    public void respond(int status, HttpHeaders answerHeaders, byte[] content) {
        respond(status, answerHeaders, content, () -> {});
    }

    /** Sends a whole answer with the headers given, its length added; runs an action when it has left, or never will. */
    public void respond(int status, HttpHeaders answerHeaders, byte[] content, Runnable whenGone) {
        if (answered) {
            whenGone.run();
            return;
        }
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        response.headers().set(answerHeaders);
        HttpUtil.setContentLength(response, content.length);
        setConnection(response);
        finish(response).addListener(written -> whenGone.run());
    }

    /** Begins an answer whose body comes in parts. */
    public void begin(int status, HttpHeaders answerHeaders) {
        if (answered || streaming) {
            return;
        }
        streaming = true;
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        head.headers().set(answerHeaders);
        setConnection(head);
        setStreamFraming(head);
        channel.write(head, channel.voidPromise());
    }

    /** Sends a part of the body; returns whether the client keeps up. */
    public boolean part(ByteBuf content) {
        if (answered) {
            content.release();
            return true;
        }
        channel.writeAndFlush(new DefaultHttpContent(content), channel.voidPromise());
        return channel.isWritable();
    }

    /** Ends a body that came in parts. */
    public void end() {
        if (!answered) {
            finish(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    /** Sets what to do when the client keeps up again. */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    void writabilityChanged() {
        if (!answered && channel.isWritable()) {
            onWritable.run();
        }
    }

    /**
     * Closes the connection without an answer, or without the rest of one. An answer that ends with its connection would
     * look complete, so that connection is reset.
     */
    public void abort() {
        answered = true;
        if (endsWithConnection()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    /** Returns whether the client does not know chunks, so that the end of the connection ends its stream. */
    private boolean endsWithConnection() {
        return streaming && !chunks;
    }

    private void setStreamFraming(HttpResponse head) {
        HttpUtil.setTransferEncodingChunked(head, chunks);
        if (!chunks) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void setHeaders(HttpResponse response, String contentType) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        setConnection(response);
    }

    private void setConnection(HttpResponse response) {
        endAnnounced = !keepsConnection() || connectionEnd.wanted();
        if (endAnnounced) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private boolean keepsConnection() {
        return keepAlive && !endsWithConnection() && !connectionEnd.required();
    }

    private ChannelFuture finish(Object last) {
        answered = true;
        ChannelFuture written = channel.writeAndFlush(last);
        boolean ends = endAnnounced || !keepsConnection();
        if (ends) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        answeredListener.answered(written, ends);
        return written;
    }
}
