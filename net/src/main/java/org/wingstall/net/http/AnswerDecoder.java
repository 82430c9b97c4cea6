package org.wingstall.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes the answers on a connection; the method of the request that waits decides whether they have bodies. After a
 * malformed head nothing more is decoded.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final int STATUS_LINE_BYTES = 16;

    private final AnswerHeadCheck heads = new AnswerHeadCheck();
    private String method = HttpMethod.GET.name();
    private boolean malformed;

    void expectAnswerTo(String requestMethod) {
        method = requestMethod;
    }

    /** Returns the first bytes that came after the last part that was decoded, enough for a status line. */
    String unreadBytes() {
        int length = Math.min(actualReadableBytes(), STATUS_LINE_BYTES);
        return length == 0
                ? ""
                : internalBuffer().toString(internalBuffer().readerIndex(), length, StandardCharsets.ISO_8859_1);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        try {
            if (!malformed) {
                heads.readLines(buffer);
                int before = out.size();
                super.decode(ctx, buffer, out);
                for (int i = before; i < out.size(); i++) {
                    if (out.get(i) instanceof LastHttpContent) {
                        heads.expectHead();
                    }
                }
            }
        } catch (MalformedHeadException e) {
            malformed = true;
            out.add(failure(e));
        }
        if (malformed) {
            buffer.skipBytes(buffer.readableBytes());
        }
    }

    private static HttpResponse failure(MalformedHeadException cause) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
        head.setDecoderResult(DecoderResult.failure(cause));
        return head;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage head) {
        return HttpMethod.HEAD.name().equals(method)
                || HttpMethod.CONNECT.name().equals(method) && succeeded(head)
                || super.isContentAlwaysEmpty(head);
    }

    private static boolean succeeded(HttpMessage head) {
        return head instanceof HttpResponse answer && answer.status().codeClass() == HttpStatusClass.SUCCESS;
    }
}
