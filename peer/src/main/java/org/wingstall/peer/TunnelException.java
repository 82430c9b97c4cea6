package org.wingstall.peer;

import java.io.IOException;

/**
 * Thrown when a tunnel can't be opened, or ends without the orderly end of its other side.
 *
 * <p>{@code listener.failed(new TunnelException("the endpoint is not reached"));}
 *
 * @since 0.15
 */
public final class TunnelException extends IOException {
    TunnelException(String detail) {
        super(detail);
    }
}
