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
import java.util.function.Supplier;

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
    private boolean sentWhole;
    private boolean ended;
    private boolean keepAlive = true;
    private boolean holdsBody = true;
    private long heldBytes;
    private BodyEnd bodyEnd = BodyEnd.LENGTH;
    private String following = "";
    private long keptIdleMs = ConnectionUse.ANY_IDLE_MS;

    HttpExchange(OutgoingRequest request, ResponseListener listener, HttpClient client) {
        this.request = request;
        this.listener = listener;
        this.client = client;
    }

    /** Ends the exchange; the listener hears nothing more. */
    public void cancel() {
        end();
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
        client.started(this, connected.eventLoop(), request.address());
        connected.pipeline().get(ExchangeHandler.class).begin(this, request.address(), client);
        written = true;
        listener.requestWritten();
        connected.writeAndFlush(encode()).addListener(sent -> {
            sentWhole = sent.isSuccess();
            if (!sentWhole) {
                failed(TransportException.Kind.RESET, "the request could not be sent whole");
            }
        });
    }

    void connectFailed(Throwable cause) {
        failed(TransportException.Kind.CONNECT, String.valueOf(cause.getMessage()));
    }

    /**
     * Returns whether a whole body, as its length has it, ends with the start of another answer: it was cut short, and the
     * connection went on.
     *
     * @param body gives the body
     */
    public boolean cutShort(Supplier<byte[]> body) {
        return !following.isEmpty() && JoinedAnswers.in(body.get(), following);
    }

    /** Returns the local address of the connection and how many requests it has carried; empty before it is open. */
    public String describeConnection() {
        if (channel == null) {
            return "";
        }
        int requests = channel.pipeline().get(ExchangeHandler.class).requestsCarried();
        return "request " + requests + " of connection " + channel.localAddress()
                + Connector.viaBox(channel).map(box -> " by way of " + box).orElse("");
    }

    /** Returns whether an answer belongs to this request, as far as its headers can show. */
    boolean answeredBy(HttpResponse response) {
        return request.answeredBy(response.headers());
    }

    /** Returns the identifier that an answer carries back; null when it carries none. */
    String identifierOf(HttpResponse response) {
        return request.identifierOf(response.headers());
    }

    /** Tells the listener that the answer to an earlier request came once more. */
    void surplusAnswer(int status) {
        if (!ended) {
            listener.surplusAnswer(status);
        }
    }

    void head(HttpResponse response) {
        keepAlive = HttpUtil.isKeepAlive(response);
        bodyEnd = BodyEnd.of(response);
        keptIdleMs = KeepAlive.idleMs(response.headers());
        if (!answeredBy(response)) {
            failed(TransportException.Kind.FOREIGN, "an answer to another request");
        }
        if (!ended) {
            listener.head(response.status().code(), response.headers());
            holdsBody = listener.holdsBody();
        }
    }

    void content(HttpContent part) {
        if (ended) {
            return;
        }
        try {
            hold(part.content().readableBytes());
            listener.content(part.content());
        } catch (BodyTooLongException e) {
            failed(TransportException.Kind.PROTOCOL, e.getMessage());
        }
    }

    private void hold(int bytes) throws BodyTooLongException {
        if (holdsBody) {
            long before = heldBytes;
            heldBytes += bytes;
            client.heldBytes().hold(before, bytes);
        }
    }

    /** Stops or goes on reading the answer, so that a slow reader of it holds its sender up. */
    public void reading(boolean goesOn) {
        if (channel != null && !ended) {
            channel.config().setAutoRead(goesOn);
        }
    }

    /** Returns the group of requests that may use the connection. */
    String group() {
        return request.connection().group();
    }

    /** Returns the identifier that the answer carries back; null when it carries none. */
    String identifier() {
        return request.identifier();
    }

    /** Returns the method of the request. */
    String method() {
        return request.method();
    }

    /** Returns the longest time that the other side said it keeps an idle connection, in ms. */
    long keptIdleMs() {
        return keptIdleMs;
    }

    /** Returns whether the connection may be kept; one on which a rest of the request is still due may not. */
    boolean complete(String followingBytes) {
        following = followingBytes;
        if (!ended) {
            end();
            listener.complete(bodyEnd);
        }
        return keepAlive
                && sentWhole
                && request.connection().kept()
                && channel.config().isAutoRead();
    }

    void failed(TransportException.Kind kind, String detail) {
        if (ended) {
            return;
        }
        end();
        if (channel != null) {
            channel.close();
        }
        listener.failed(new TransportException(kind, written, viaBox(), detail));
    }

    /**
     * Returns the failure of an answer whose content shows that it was broken off, although its framing does not.
     *
     * @param end how the end of its body was recognised
     * @param detail what the content shows
     */
    public TransportException brokenOff(BodyEnd end, String detail) {
        TransportException.Kind kind =
                end == BodyEnd.CONNECTION ? TransportException.Kind.RESET : TransportException.Kind.PROTOCOL;
        return new TransportException(kind, written, viaBox(), detail);
    }

    private boolean viaBox() {
        return channel != null && Connector.viaBox(channel).isPresent();
    }

    private void end() {
        ended = true;
        client.heldBytes().release(heldBytes);
        heldBytes = 0;
        if (channel != null) {
            client.ended(this, channel.eventLoop(), request.address());
        }
    }

    void directPathLost() {
        if (!ended && !viaBox()) {
            listener.directPathLost();
        }
    }

    private FullHttpRequest encode() {
        FullHttpRequest encoded = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.path(),
                Unpooled.wrappedBuffer(request.body()));
        encoded.headers().set(request.headers());
        if (!encoded.headers().contains(HttpHeaderNames.HOST)) {
            encoded.headers().set(HttpHeaderNames.HOST, host());
        }
        boolean hasBody = request.body().length > 0 || !"GET".equals(request.method());
        if (hasBody) {
            HttpUtil.setContentLength(encoded, request.body().length);
        }
        return encoded;
    }

    private String host() {
        return request.address().getHostString() + ":" + request.address().getPort();
    }
}
