package org.wingstall.it.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Hands out free ports of the loopback addresses. */
final class Ports {
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Ports() {}

    static synchronized String address(String ip) {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
                if (GIVEN.add(socket.getLocalPort())) {
                    return ip + ":" + socket.getLocalPort();
                }
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
    }
}
