package org.wingstall.net.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.nio.charset.StandardCharsets;

/** Decodes the answers on a connection; the method of the request that waits decides whether they have bodies. */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final int STATUS_LINE_BYTES = 16;

    private String method = HttpMethod.GET.name();

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
    protected boolean isContentAlwaysEmpty(HttpMessage head) {
        return HttpMethod.HEAD.name().equals(method)
                || HttpMethod.CONNECT.name().equals(method) && succeeded(head)
                || super.isContentAlwaysEmpty(head);
    }

    private static boolean succeeded(HttpMessage head) {
        return head instanceof HttpResponse answer && answer.status().codeClass() == HttpStatusClass.SUCCESS;
    }
}
