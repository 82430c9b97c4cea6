package org.wingstall.relay.path;

import java.util.List;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.net.http.Connector;

/**
 * Ways to endpoints through other boxes.
 *
 * <p>{@code for (String box : detours.boxesFor(endpoint)) { detours.open(box, endpoint, 150, listener); }}
 *
 * @since 0.15
 */
public interface Detours {
    /** Returns the boxes that reach an endpoint as far as is known, the preferred ones first. */
    List<String> boxesFor(EndpointIdentity endpoint);

    /**
     * Opens a connection to an endpoint through another box.
     *
     * @param boxId the box
     * @param endpoint the endpoint
     * @param timeoutMs longest wait, in ms
     * @param listener receives the result
     */
    void open(String boxId, EndpointIdentity endpoint, int timeoutMs, Connector.Listener listener);
}
