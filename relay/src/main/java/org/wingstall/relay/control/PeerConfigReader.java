package org.wingstall.relay.control;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;
import org.wingstall.peer.ConfigDocumentHost;
import org.wingstall.relay.config.RelayConfig;
import org.wingstall.relay.wire.ConfigDocuments;
import org.wingstall.relay.wire.SourceException;
import org.wingstall.schema.peer.ConfigDocument;

/**
 * Reads the configuration from peers when they have a newer version and the source does not give it to this box in time.
 * Runs on the control loop.
 *
 * <p>{@code reader.onNewerVersion(7);}
 *
 * @since 0.20
 */
public final class PeerConfigReader implements ConfigDocumentHost {
    private static final Logger LOG = LogManager.getLogger(PeerConfigReader.class);

    /** Time for the source to give a version that a peer has, in ms; many times what a read takes. */
    private static final long SOURCE_READ_MS = 400;

    /** The same for a box without a configuration, in ms: all boxes of a fleet may start at once and read late. */
    private static final long FIRST_READ_MS = 1000;

    /** Time for the reply of a peer, in ms; a packet that is sent again takes 200. */
    private static final long REPLY_MS = 400;

    /** Pause after no peer had a valid document, in ms. */
    private static final long RETRY_MS = 1000;

    private final EventExecutor loop;
    private final ConfigDocuments documents;
    private final RelayState state;
    private final Supplier<Map<String, Long>> versionsOfPeers;
    private final Requester requester;
    private final RandomGenerator random;
    private final Set<String> tried = new HashSet<>();
    private boolean reading;
    private volatile long taken;
    private volatile long rejected;
    private volatile long unanswered;

    /** Requests a document from a peer; see {@link org.wingstall.peer.ConfigDocumentLinks#request}. */
    @FunctionalInterface
    public interface Requester {
        /** Returns the reply; empty if none came in time. */
        CompletableFuture<Optional<ConfigDocument>> request(String boxId, long version, long timeoutMs);
    }

    /**
     * Creates a reader.
     *
     * @param loop the control loop
     * @param documents decodes documents, and keeps the latest one
     * @param state receives the configuration
     * @param versionsOfPeers returns the versions in force at reachable peers that send their documents
     * @param requester requests documents
     * @param random chooses among peers
     */
    public PeerConfigReader(
            EventExecutor loop,
            ConfigDocuments documents,
            RelayState state,
            Supplier<Map<String, Long>> versionsOfPeers,
            Requester requester,
            RandomGenerator random) {
        this.loop = loop;
        this.documents = documents;
        this.state = state;
        this.versionsOfPeers = versionsOfPeers;
        this.requester = requester;
        this.random = random;
    }

    /** Returns the documents of peers that were put in force; on any thread. */
    public long taken() {
        return taken;
    }

    /** Returns the documents of peers that were invalid; on any thread. */
    public long rejected() {
        return rejected;
    }

    /** Returns the requests that got no document; on any thread. */
    public long unanswered() {
        return unanswered;
    }

    @Override
    public Optional<ConfigDocument> document(long version) {
        return documents
                .latest()
                .filter(latest -> latest.version() >= version)
                .map(latest ->
                        new ConfigDocument(latest.version(), Base64.getEncoder().encodeToString(latest.bytes())));
    }

    /**
     * Reads the version from a peer, unless the source gives it to this box first. For use on any thread.
     *
     * @param version a peer's version
     */
    public void onNewerVersion(long version) {
        loop.execute(() -> {
            if (!reading && version > state.config().version()) {
                reading = true;
                long waitMs = state.config().known() ? SOURCE_READ_MS : FIRST_READ_MS;
                loop.schedule(this::requestNext, waitMs, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void requestNext() {
        List<String> newer = newerPeers();
        if (newer.isEmpty()) {
            long pauseMs = tried.isEmpty() ? 0 : RETRY_MS;
            tried.clear();
            loop.schedule(() -> reading = false, pauseMs, TimeUnit.MILLISECONDS);
            return;
        }
        String boxId = newer.get(random.nextInt(newer.size()));
        tried.add(boxId);
        requester
                .request(boxId, state.config().version() + 1, REPLY_MS)
                .thenAcceptAsync(reply -> onReply(boxId, reply), loop)
                .whenCompleteAsync((done, failure) -> requestNext(), loop);
    }

    private List<String> newerPeers() {
        long inForce = state.config().version();
        List<String> newer = new ArrayList<>();
        versionsOfPeers.get().forEach((boxId, version) -> {
            if (version > inForce && !tried.contains(boxId)) {
                newer.add(boxId);
            }
        });
        return newer;
    }

    private void onReply(String boxId, Optional<ConfigDocument> reply) {
        Optional<ConfigDocument> document = reply.filter(sent -> sent.getVersion() > 0);
        if (document.isPresent()) {
            apply(boxId, document.get());
        } else {
            unanswered++;
        }
    }

    private void apply(String boxId, ConfigDocument document) {
        try {
            RelayConfig config = documents.decode(decode(document));
            if (state.updateIfNewer(config, "peer " + boxId)) {
                taken++;
                tried.clear();
            }
        } catch (SourceException e) {
            rejected++;
            LogEvent.warn("peer-config-rejected")
                    .with("peer", boxId)
                    .with("version", document.getVersion())
                    .with("kind", e.kind().name())
                    .cause(e)
                    .to(LOG);
        }
    }

    private static ConfigDocuments.Document decode(ConfigDocument document) throws SourceException {
        try {
            return new ConfigDocuments.Document(
                    document.getVersion(), Base64.getDecoder().decode(document.getDocument()));
        } catch (IllegalArgumentException e) {
            throw new SourceException(SourceException.Kind.UNREADABLE, "no Base64: " + e.getMessage());
        }
    }
}
