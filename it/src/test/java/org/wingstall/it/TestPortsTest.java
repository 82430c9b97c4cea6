package org.wingstall.it;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import org.wingstall.standin.LoopbackPorts;

/** Two processes of tests that ran beside each other were given the same port, and one of their stand-ins ended. */
public class TestPortsTest {
    private static final String IP = "127.0.0.1";

    private static final int TRIES = 20_000;

    /** Prints whether this process may have a port; started by the test as a process of its own. */
    public static final class Other {
        public static void main(String[] args) throws IOException {
            System.out.print(LoopbackPorts.lock(Integer.parseInt(args[0])));
        }
    }

    /** Tries to take a port again and again. */
    public static final class Taker {
        public static void main(String[] args) throws IOException {
            for (int i = 0; i < TRIES; i++) {
                LoopbackPorts.take(IP, Integer.parseInt(args[0]));
            }
        }
    }

    @Test
    public void portIsGivenToOneProcessOnly() throws Exception {
        int port = LoopbackPorts.next(IP);
        assertEquals(lockElsewhere(port), "false");
        assertEquals(lockElsewhere(1), "true");
    }

    /** A stand-in that listened on its port again met another process that looked whether the port was free. */
    @Test
    public void portOfAnotherProcessIsNotBound() throws Exception {
        int port = LoopbackPorts.next(IP);
        Process taker = start(Taker.class, port);
        while (taker.isAlive()) {
            new ServerSocket(port, 1, InetAddress.getByName(IP)).close();
        }
        assertEquals(taker.waitFor(), 0);
    }

    private static Process start(Class<?> main, int port) throws IOException {
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                main.getName(),
                Integer.toString(port));
        return new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
    }

    private static String lockElsewhere(int port) throws IOException, InterruptedException {
        Process other = start(Other.class, port);
        String printed = new String(other.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(other.waitFor(), 0);
        return printed;
    }
}
