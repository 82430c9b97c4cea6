package org.wingstall.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Hands out ports that processes of a test listen on: free ones, each once, and none that the system gives to outgoing
 * connections. A port of those may be taken between the moment it was found free and the start of the process; so may one
 * that another process of tests finds free at the same time, which is why each is locked for the life of this process.
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

    private static final Path LOCKS = Path.of(System.getProperty("java.io.tmpdir"), "wingstall-ports");
    private static final Map<Integer, FileLock> GIVEN = new HashMap<>();

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
            if (take(ip, port)) {
                return port;
            }
        }
        throw new IOException("no port from " + FIRST + " to " + BEYOND + " is free on " + ip);
    }

    /**
     * Takes a port for this process. A port that is locked by another process is not bound to see whether it is free: that
     * process may be about to listen on it again.
     *
     * @return false if this process or another one has it
     * @throws IOException if the file of the lock cannot be had
     */
    public static synchronized boolean take(String ip, int port) throws IOException {
        return !GIVEN.containsKey(port) && lock(port) && free(ip, port);
    }

    /**
     * Locks a port against other processes of tests.
     *
     * @return false if one of them has it
     * @throws IOException if the file of the lock cannot be had
     */
    public static synchronized boolean lock(int port) throws IOException {
        Files.createDirectories(LOCKS);
        FileChannel file = FileChannel.open(
                LOCKS.resolve(Integer.toString(port)), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = file.tryLock();
        if (lock == null) {
            file.close();
            return false;
        }
        GIVEN.put(port, lock);
        return true;
    }

    private static boolean free(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
