package org.wingstall.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

public class LoopbackPortsTest {
    private static final String IP = "127.0.0.1";

    @Test
    public void portsAreGivenOnceAndNoneIsOneOfOutgoingConnections() throws Exception {
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            ports.add(LoopbackPorts.next(IP));
        }
        assertEquals(ports.size(), 200);
        assertTrue(ports.stream().allMatch(port -> port >= LoopbackPorts.FIRST && port < LoopbackPorts.BEYOND));
    }

    @Test
    public void aPortThatIsTakenIsNotGiven() throws Exception {
        int taken = LoopbackPorts.next(IP);
        try (ServerSocket socket = new ServerSocket(taken, 1, InetAddress.getByName(IP))) {
            for (int i = 0; i < 200; i++) {
                assertNotEquals(LoopbackPorts.next(IP), socket.getLocalPort());
            }
        }
    }
}
