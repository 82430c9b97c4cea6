package org.wingstall.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Hands out ports that processes of a test listen on: free ones, each once, and none that the system gives to outgoing
 * connections. A port of those may be taken between the moment it was found free and the start of the process.
 *
 * <p>{@code String address = "127.0.0.1:" + LoopbackPorts.next("127.0.0.1");}
 *
 * @since 0.3
 */
public final class LoopbackPorts {
    /** First port handed out; below are those of well-known services. */
    static final int FIRST = 15_000;

    /** First port beyond; the system gives ports from 32,768 on to outgoing connections. */
    static final int BEYOND = 32_000;

    private static final Set<Integer> GIVEN = new HashSet<>();

    private LoopbackPorts() {}

    /**
     * Returns a free port.
     *
     * @param ip loopback address
     * @throws IOException if all are taken
     */
    public static synchronized int next(String ip) throws IOException {
        int begin = ThreadLocalRandom.current().nextInt(FIRST, BEYOND);
        for (int i = 0; i < BEYOND - FIRST; i++) {
            int port = FIRST + (begin - FIRST + i) % (BEYOND - FIRST);
            if (!GIVEN.contains(port) && free(ip, port)) {
                GIVEN.add(port);
                return port;
            }
        }
        throw new IOException("no port from " + FIRST + " to " + BEYOND + " is free on " + ip);
    }

    private static boolean free(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
