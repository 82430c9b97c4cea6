package org.wingstall.net.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Decodes the answers on a connection; the method of the request that waits decides whether they have bodies. */
final class AnswerDecoder extends HttpResponseDecoder {
    private String method = HttpMethod.GET.name();

    void expectAnswerTo(String requestMethod) {
        method = requestMethod;
    }

    /** Returns whether bytes came after the last part that was decoded. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
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
