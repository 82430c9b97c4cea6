package org.wingstall.it.harness;

import java.io.IOException;
import org.wingstall.standin.LoopbackPorts;

/** Hands out free addresses of the loopback interface. */
final class Ports {
    private Ports() {}

    static String address(String ip) {
        try {
            return ip + ":" + LoopbackPorts.next(ip);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
