package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.ClientLimits;
import org.wingstall.relay.config.RelayConfig;
import org.wingstall.relay.wire.ConfigDocuments;
import org.wingstall.relay.wire.SourceException;
import org.wingstall.schema.peer.ConfigDocument;

public class PeerConfigReaderTest {
    private final Map<String, Optional<ConfigDocument>> replies = new ConcurrentHashMap<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private volatile long expected;
    private RelayState state;
    private EventLoop loop;
    private PeerConfigReader reader;

    /** Documents that consist of their version. */
    private static final class Numbers implements ConfigDocuments {
        @Override
        public Optional<Document> latest() {
            return Optional.of(new Document(7, "7".getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public RelayConfig decode(Document document) throws SourceException {
            String text = new String(document.bytes(), StandardCharsets.US_ASCII);
            if (!text.equals(Long.toString(document.version()))) {
                throw new SourceException(SourceException.Kind.UNREADABLE, text);
            }
            return config(document.version());
        }
    }

    private static RelayConfig config(long version) {
        return new RelayConfig(version, List.of(), List.of(), Map.of(), false, ClientLimits.DEFAULTS);
    }

    @BeforeMethod
    public void create() {
        loop = new DefaultEventLoop();
        state = new RelayState(System::nanoTime);
        requests.clear();
        replies.clear();
        state.updateIfNewer(config(1), "store");
        reader =
                new PeerConfigReader(loop, new Numbers(), state, this::versions, this::request, new SplittableRandom());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    private Map<String, Long> versions() {
        Map<String, Long> versions = new HashMap<>();
        replies.keySet().forEach(boxId -> versions.put(boxId, expected));
        return versions;
    }

    private CompletableFuture<Optional<ConfigDocument>> request(String boxId, long version, long timeoutMs) {
        requests.add(boxId);
        return CompletableFuture.completedFuture(replies.get(boxId));
    }

    private static Optional<ConfigDocument> document(long version, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        return Optional.of(new ConfigDocument(version, Base64.getEncoder().encodeToString(bytes)));
    }

    @DataProvider
    public Object[][] useless() {
        List<Object[]> cases = new ArrayList<>();
        cases.add(new Object[] {"corrupt", document(0, "").map(none -> new ConfigDocument(7, "NyBvciA4")), 1});
        cases.add(new Object[] {"no Base64", Optional.of(new ConfigDocument(7, "%")), 1});
        cases.add(new Object[] {"of another version", document(7, "8"), 1});
        cases.add(new Object[] {"not there", document(0, ""), 0});
        cases.add(new Object[] {"unanswered", Optional.empty(), 0});
        return cases.toArray(Object[][]::new);
    }

    /** Which peer is asked first is left to chance, so the one with the document joins after the other was asked. */
    @Test(dataProvider = "useless")
    public void aUselessReplyIsNotTakenAndAnotherPeerIsAsked(
            String what, Optional<ConfigDocument> reply, int rejected) {
        expected = 7;
        replies.put("a", reply);
        reader.onNewerVersion(7);
        Awaitility.await().until(() -> !requests.isEmpty());
        assertEquals(state.config().version(), 1, what);
        replies.put("b", document(7, "7"));
        Awaitility.await().until(() -> {
            reader.onNewerVersion(7);
            return state.config().version() == 7;
        });
        assertEquals(reader.taken(), 1, what);
        assertEquals(Math.min(1, reader.rejected()), rejected, what);
    }

    @Test
    public void peersAreNotAskedForWhatTheSourceGives() {
        expected = 7;
        replies.put("a", document(7, "7"));
        reader.onNewerVersion(7);
        state.updateIfNewer(config(7), "store");
        expected = 8;
        replies.put("a", document(8, "8"));
        Awaitility.await().until(() -> {
            reader.onNewerVersion(8);
            return state.config().version() == 8;
        });
        assertEquals(requests, List.of("a"));
    }

    @Test
    public void aPeerGetsTheLatestDocumentUnlessItIsOlderThanNeeded() {
        assertEquals(
                reader.document(7).map(ConfigDocument::getDocument),
                document(7, "7").map(ConfigDocument::getDocument));
        assertEquals(reader.document(8), Optional.empty());
    }
}
