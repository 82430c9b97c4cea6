package org.wingstall.net.http;

/**
 * Answers the calls that a server takes.
 *
 * <p>{@code HttpHandler handler = call -> call.respond(200, "text/plain", bytes);}
 *
 * @since 0.1
 */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Takes a call, on the event loop of its connection; must not block.
     *
     * @param call the call
     */
    void handle(HttpCall call);
}
