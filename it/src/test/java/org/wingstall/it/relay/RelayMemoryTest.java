package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.member.Addresses;
import org.wingstall.it.harness.Pauses;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.HttpLimits;
import org.wingstall.net.http.HttpServer;
import org.wingstall.standin.fleet.EndlessEndpoint;
import org.wingstall.standin.fleet.EndlessEndpoint.Kind;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/** Boxes with the heap that is shipped ran out of memory by answers that they held. */
public class RelayMemoryTest {
    private static final String MAIN = "org.wingstall.gateway.relay.RelayMain";
    private static final HttpLimits LIMITS = new HttpLimits(1 << 20, 1000, 10_000, 60_000);

    /** A little less than the longest answer that a box takes, in bytes. */
    private static final int LONG_ANSWER_BYTES = (4 << 20) - 1000;

    private static final int SLOW_CALLERS = 120;

    /** Time within which a box asks the store for everything several times, in ms. */
    private static final long SOME_READS_MS = 8000;

    private FleetStandin fleet;
    private EventLoopGroup group;
    private Process process;
    private String settings;
    private Path out;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 5000);
        group = EventLoops.group("long-answers", 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        process.destroyForcibly();
        fleet.close();
        group.shutdownGracefully();
    }

    private void startBox(String text) throws IOException {
        Path folder = Files.createTempDirectory("memory");
        Path file = folder.resolve("relay.yaml");
        settings = text;
        out = folder.resolve("out");
        Files.writeString(file, text);
        process = new ProcessBuilder(
                        "java",
                        "-Xmx160m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        MAIN,
                        "--settings",
                        file.toString())
                .redirectErrorStream(true)
                .redirectOutput(out.toFile())
                .start();
    }

    private void assertSound() throws IOException {
        assertTrue(process.isAlive());
        assertFalse(Files.readString(out).contains("OutOfMemoryError"), "no memory was short");
    }

    @DataProvider
    Object[][] kinds() {
        return new Object[][] {{Kind.BODY}, {Kind.CHUNKS}, {Kind.LONG_BODY}, {Kind.HEADER_LINES}, {Kind.FIRST_LINE}};
    }

    @Test(dataProvider = "kinds")
    public void aStoreWhoseAnswersHaveNoEndFillsNoMemory(Kind kind) throws Exception {
        try (EndlessEndpoint endless = new EndlessEndpoint(kind, 200_000_000)) {
            startBox(fleet.settings("endless", "east", endless.address()));
            Awaitility.await().until(() -> Files.readString(out).contains("\"event\":\"started\""));
            Pauses.ofMs(SOME_READS_MS);
            assertSound();
        }
    }

    private void answer(HttpCall call) {
        HttpHeaders headers = new DefaultHttpHeaders()
                .set("X-Wingstall-Attempt-Id", call.header("X-Wingstall-Attempt-Id"))
                .set("X-Wingstall-Response-Seal", "seal");
        call.respond(200, headers, new byte[LONG_ANSWER_BYTES]);
    }

    private Socket sendWithoutReading(String id) throws IOException {
        InetSocketAddress address = Addresses.parse(FleetStandin.valueOf(settings, "callerAddress"));
        Socket caller = new Socket();
        caller.setReceiveBufferSize(4096);
        caller.connect(address);
        caller.getOutputStream().write(RelayBox.rawHead("once", id).getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    @Test
    public void callersWhoDoNotReadLongAnswersFillNoMemory() throws Exception {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        HttpServer server = HttpServer.start(group, any, LIMITS, this::answer, rejection -> new byte[0]);
        fleet.list("plain", "east", "long", Addresses.format(server.address()), "ready");
        fleet.add("engine", "east", "e1", new WorkerStandin("e1", 5, 0));
        startBox(fleet.settings("slow-callers", "east"));
        Awaitility.await().until(() -> Files.readString(out).contains("\"event\":\"endpoints-known\""));
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < SLOW_CALLERS; i++) {
            callers.add(sendWithoutReading("slow-" + i));
            Pauses.ofMs(20);
        }
        assertEquals(harmlessStatus(), 200);
        assertSound();
        for (Socket caller : callers) {
            caller.close();
        }
        assertEquals(harmlessStatus(), 200);
        assertSound();
    }

    private int harmlessStatus() throws IOException {
        InetSocketAddress address = Addresses.parse(FleetStandin.valueOf(settings, "callerAddress"));
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.getOutputStream()
                    .write(RelayBox.rawHead("stream", "harmless").getBytes(StandardCharsets.US_ASCII));
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(answer.isEmpty(), false, "an answer");
            return Integer.parseInt(answer.substring(9, 12));
        }
    }
}
