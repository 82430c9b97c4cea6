package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.relay.CutHeadEndpoint.End;
import org.wingstall.it.relay.CutHeadEndpoint.Framing;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.RepeatingClient;
import org.wingstall.platform.PlatformConfigSource;
import org.wingstall.platform.PlatformEndpointSource;
import org.wingstall.platform.StoreClient;
import org.wingstall.relay.wire.SourceException;

/** A configuration or list read from an answer that the store cut inside its head counted as an empty one. */
public class StoreCutAnswerHeadTest {
    private static final String WHOLE_BODY = "{\"ver\":7,\"rows\":[]}";
    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nContent-Length: " + WHOLE_BODY.length() + "\r\n\r\n" + WHOLE_BODY;

    private final EventLoopGroup group = EventLoops.group("cut-store", 1);
    private ServerSocket listener;
    private PlatformConfigSource config;
    private PlatformEndpointSource list;
    private volatile String answer;
    private volatile End end;

    @BeforeClass
    public void start() throws Exception {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread server = new Thread(this::serve, "cut-store");
        server.setDaemon(true);
        server.start();
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", listener.getLocalPort());
        StoreClient store = new StoreClient(
                new RepeatingClient(new HttpClient(), group.next(), address, () -> 5000, () -> false), address);
        config = new PlatformConfigSource(store, () -> 50);
        list = new PlatformEndpointSource(store);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        listener.close();
        group.shutdownGracefully();
    }

    private void serve() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                String line = reader.readLine();
                while (line != null && !line.isEmpty()) {
                    line = reader.readLine();
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                end.play(socket);
            } catch (IOException e) {
                // The client, or the end of the test, closed the socket.
            }
        }
    }

    @DataProvider
    Object[][] cuts() {
        return Stream.of(Framing.values())
                .flatMap(framing -> Stream.of(End.values()).map(each -> new Object[] {framing, each}))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "cuts")
    public void anAnswerCutInsideItsHeadIsNoReading(Framing framing, End how) {
        List<Supplier<CompletableFuture<?>>> readings =
                List.of(() -> config.next(true), () -> config.next(false), () -> list.read());
        String head = framing.head("id");
        end = how;
        for (int bytes = 0; bytes < head.length(); bytes++) {
            answer = head.substring(0, bytes);
            for (Supplier<CompletableFuture<?>> reading : readings) {
                CompletionException failure = expectThrows(
                        CompletionException.class, () -> reading.get().join());
                assertTrue(failure.getCause() instanceof SourceException, answer + ": " + failure);
            }
        }
        answer = WHOLE;
        end = End.CLOSED_LATE;
        assertEquals(config.next(true).join().evacuations().asOfVersion().number(), 7);
    }
}
