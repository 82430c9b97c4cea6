package org.wingstall.it;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import org.wingstall.standin.LoopbackPorts;

/** Two processes of tests that ran beside each other were given the same port, and one of their stand-ins ended. */
public class TestPortsTest {
    private static final String IP = "127.0.0.1";

    /** Prints whether this process may have a port; started by the test as a process of its own. */
    public static final class Other {
        public static void main(String[] args) throws IOException {
            System.out.print(LoopbackPorts.lock(Integer.parseInt(args[0])));
        }
    }

    @Test
    public void portIsGivenToOneProcessOnly() throws Exception {
        int port = LoopbackPorts.next(IP);
        assertEquals(lockElsewhere(port), "false");
        assertEquals(lockElsewhere(1), "true");
    }

    private static String lockElsewhere(int port) throws IOException, InterruptedException {
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Other.class.getName(),
                Integer.toString(port));
        Process other = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        String printed = new String(other.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(other.waitFor(), 0);
        return printed;
    }
}
