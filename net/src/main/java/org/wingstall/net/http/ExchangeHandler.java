package org.wingstall.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Passes the answer on a connection to the exchange that the connection carries at the moment. */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** Text of the system's error for a connection that timed out. */
    private static final String TIMED_OUT = "Connection timed out";

    /** Interim answers that may come before an answer; endpoints of the platform send none. */
    private static final int MAX_INTERIM_ANSWERS = 8;

    private final AnsweredRequests requests = new AnsweredRequests();
    private final AnswerDecoder decoder;
    private HttpExchange current;
    private String group = "";
    private int requestsCarried;
    private int interimAnswers;
    private boolean interim;
    private boolean surplus;
    private long surplusBytes;
    private InetSocketAddress address;
    private HttpClient client;
    private long keptAtNs;
    private long keptIdleMs;

    private ExchangeHandler(AnswerDecoder decoder) {
        this.decoder = decoder;
    }

    /** Adds the handlers of a connection to its pipeline, this one last. */
    static void addTo(ChannelPipeline pipeline) {
        AnswerDecoder decoder = new AnswerDecoder();
        ExchangeHandler handler = new ExchangeHandler(decoder);
        pipeline.addLast(new UnsolicitedBytes(handler))
                .addLast(decoder)
                .addLast(new HttpRequestEncoder())
                .addLast(handler);
    }

    /** Returns whether the connection has been idle for less than this and less than the other side keeps it, in ms. */
    boolean idleWithin(long idleMs) {
        long idleNs = System.nanoTime() - keptAtNs;
        return TimeUnit.NANOSECONDS.toMillis(idleNs) < Math.min(idleMs, keptIdleMs);
    }

    /** Returns whether nothing that was sent before on this connection can be answered as if it were a request. */
    boolean canCarry(OutgoingRequest request) {
        return requests.tellsApart(request.identifier())
                && group.equals(request.connection().group());
    }

    /** Returns the number of requests that the connection has carried so far. */
    int requestsCarried() {
        return requestsCarried;
    }

    /** Returns whether no answer is due on the connection. */
    boolean idle() {
        return current == null;
    }

    void begin(HttpExchange exchange, InetSocketAddress to, HttpClient owner) {
        current = exchange;
        address = to;
        client = owner;
        group = exchange.group();
        interimAnswers = 0;
        requestsCarried++;
        decoder.expectAnswerTo(exchange.method());
        requests.add(exchange.identifier(), exchange.method());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (current == null) {
            ctx.close();
            return;
        }
        if (!message.decoderResult().isSuccess()) {
            failUndecoded(message.decoderResult().cause());
            ctx.close();
            return;
        }
        if (JoinedAnswers.in(message)) {
            fail(TransportException.Kind.FOREIGN, "an answer that begins with another one");
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse head) {
            interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
        if (interim) {
            readInterim(ctx, message);
            return;
        }
        if (message instanceof HttpResponse head) {
            surplus = !current.answeredBy(head) && requests.tryRepeat(current.identifierOf(head), head);
        }
        if (surplus) {
            skipSurplus(ctx, message);
            return;
        }
        if (message instanceof HttpResponse head) {
            current.head(head);
        }
        if (message instanceof HttpContent part && part.content().isReadable()) {
            current.content(part);
        }
        if (message instanceof LastHttpContent) {
            finish(ctx);
        }
    }

    /** An interim answer tells nothing of the request; the answer follows. */
    private void readInterim(ChannelHandlerContext ctx, HttpObject message) {
        if (message instanceof LastHttpContent) {
            interim = false;
        } else if (message instanceof HttpResponse && ++interimAnswers > MAX_INTERIM_ANSWERS) {
            fail(TransportException.Kind.PROTOCOL, "more than " + MAX_INTERIM_ANSWERS + " interim answers");
            ctx.close();
        }
    }

    /** The answer to an earlier request came once more; the one to the current request is still due. */
    private void skipSurplus(ChannelHandlerContext ctx, HttpObject message) {
        if (message instanceof HttpResponse head) {
            surplusBytes = 0;
            current.surplusAnswer(head.status().code());
        }
        if (message instanceof HttpContent part) {
            surplusBytes += part.content().readableBytes();
        }
        try {
            client.heldBytes().checkLength("a surplus answer", surplusBytes);
            surplus = !(message instanceof LastHttpContent);
        } catch (BodyTooLongException e) {
            fail(TransportException.Kind.PROTOCOL, e.getMessage());
            ctx.close();
        }
    }

    private void finish(ChannelHandlerContext ctx) {
        HttpExchange done = current;
        current = null;
        keptAtNs = System.nanoTime();
        keptIdleMs = done.keptIdleMs();
        // Bytes that are left belong to no request, and would be read as the start of the next answer.
        String following = decoder.unreadBytes();
        if (done.complete(following) && following.isEmpty() && ctx.channel().isActive()) {
            client.keep(ctx.channel(), address);
        } else {
            ctx.close();
        }
    }

    /** The codec passes on a head that the end of the connection cut, as a failure. */
    private void failUndecoded(Throwable cause) {
        if (cause instanceof PrematureChannelClosureException) {
            fail(TransportException.Kind.RESET, "the connection closed inside the answer's head");
        } else {
            String detail = cause instanceof MalformedHeadException ? ": " + cause.getMessage() : "";
            fail(TransportException.Kind.PROTOCOL, "the answer is no HTTP" + detail);
        }
    }

    private void fail(TransportException.Kind kind, String detail) {
        HttpExchange broken = current;
        current = null;
        if (broken != null) {
            broken.failed(kind, detail);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (client != null) {
            client.forget(ctx.channel(), address);
        }
        fail(TransportException.Kind.RESET, "the connection closed before the answer was whole");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(kindOf(cause), String.valueOf(cause.getMessage()));
        ctx.close();
    }

    /** A connection whose bytes are not acknowledged has timed out; nobody closed it. */
    private static TransportException.Kind kindOf(Throwable cause) {
        boolean timedOut = cause instanceof IOException
                && cause.getMessage() != null
                && cause.getMessage().contains(TIMED_OUT);
        return timedOut ? TransportException.Kind.TIMEOUT : TransportException.Kind.RESET;
    }
}
