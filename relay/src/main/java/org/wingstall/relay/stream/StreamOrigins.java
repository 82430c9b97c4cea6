package org.wingstall.relay.stream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wingstall.core.peer.CorrelationSequence;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.peer.StreamOriginHost;
import org.wingstall.peer.StreamOriginLinks;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.stream.StreamVersion.Source;
import org.wingstall.schema.peer.StreamOrigin;

/**
 * Tells which software version began a stream that a caller resumes, at whatever box. Each box tells a few others of the
 * streams that it begins, before their callers have an event, and asks all of them about a stream that it did
 * not begin itself. Nothing is written to the platform. Confined to the request loop.
 *
 * <p>{@code origins.find(new StreamOrigins.Query("c287ed77", "canteen", Set.of("llm"), 30_000), this::resume);}
 *
 * @since 0.16
 */
public final class StreamOrigins implements StreamOriginHost {
    /** Longest wait for the replies of other boxes, in ms; a way there and back takes a few ms. */
    private static final long REPLY_TIMEOUT_MS = 60;

    /** Pause until boxes are asked again while links are being opened, in ms; a few of the mesh's round trips. */
    private static final long ASK_AGAIN_MS = 50;

    /** Shortest wait for the list when a search has no time left, in ms; the store answers within a few ms. */
    private static final long MIN_CONFIRM_MS = 50;

    /** Number of the only endpoint of a stream that is recorded; releases before 0.20 number all that may begin it. */
    private static final int ONLY_ENDPOINT = 1;

    /** Time after its deadline within which a caller's last try may still arrive, in ms. */
    private static final long LATE_TRY_MS = 1000;

    private final String self;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final OriginHolders holders;
    private final StreamOriginLinks links;
    private final RelayEndpoints endpoints;
    private final ListRefresh list;
    private final RelayMetrics metrics;
    private final StreamOriginTable table;
    private final Map<Long, Search> searches = new HashMap<>();
    private final CorrelationSequence correlations = new CorrelationSequence();

    /**
     * Describes the stream that a caller resumes.
     *
     * @param streamId identifier of the attempt that brought its first event, or null if the caller names none
     * @param workspace workspace of the caller
     * @param services services that its route has led to since the stream can have begun; empty if that is not known
     * @param lifetimeMs longest time since the stream can have begun, in ms
     * @param patienceMs longest wait for links to boxes that can't be asked yet, in ms
     */
    public record Query(String streamId, String workspace, Set<String> services, long lifetimeMs, long patienceMs) {}

    /** Reads the list of endpoints, from which the versions of the services follow. */
    @FunctionalInterface
    public interface ListRefresh {
        /** Reads the list anew; completes with whether it was read, on any thread. */
        CompletableFuture<Boolean> read();
    }

    /** A question to other boxes, asked again while links are being opened. */
    private static final class Search {
        private final Query query;
        private final long patientUntilMs;
        private final Consumer<StreamVersion> listener;
        private final Set<String> awaited = new HashSet<>();
        private boolean linksComplete = true;
        private Optional<StreamOrigin> found;
        private ScheduledFuture<?> timeout;

        Search(Query query, long nowMs, Optional<StreamOrigin> found, Consumer<StreamVersion> listener) {
            this.query = query;
            this.patientUntilMs = nowMs + query.patienceMs();
            this.found = found;
            this.listener = listener;
        }

        void offer(StreamOrigin origin) {
            if (found.isEmpty() || StreamOriginTable.replaces(origin, found.get())) {
                found = Optional.of(origin);
            }
        }
    }

    /**
     * Creates a directory without any origins.
     *
     * @param self this box
     * @param loop the request loop
     * @param clock monotonic clock
     * @param holders chooses the boxes to tell and to ask
     * @param links sends messages to other boxes
     * @param endpoints tells which versions the services have had
     * @param list reads the list of endpoints
     * @param metrics counts resumed streams
     */
    public StreamOrigins(
            String self,
            EventLoop loop,
            MonotonicClock clock,
            OriginHolders holders,
            StreamOriginLinks links,
            RelayEndpoints endpoints,
            ListRefresh list,
            RelayMetrics metrics) {
        this.self = self;
        this.loop = loop;
        this.clock = clock;
        this.holders = holders;
        this.links = links;
        this.endpoints = endpoints;
        this.list = list;
        this.metrics = metrics;
        this.table = new StreamOriginTable(clock, metrics::recordDroppedStreamOrigin);
    }

    /** Returns the number of streams whose origin this box keeps. */
    public int size() {
        return table.size();
    }

    /**
     * Records which endpoint began a stream, before anything of it is passed on. An endpoint that may begin one is not
     * recorded: boxes that missed a later endpoint of the attempt would name the wrong one.
     *
     * @param streamId identifier of the caller's attempt
     * @param workspace workspace of the caller
     * @param endpoint the endpoint
     * @param remainingMs time that the caller waits, in ms
     */
    public void began(String streamId, String workspace, RelayEndpoint endpoint, long remainingMs) {
        StreamOrigin origin = new StreamOrigin(
                streamId,
                self,
                ONLY_ENDPOINT,
                workspace,
                endpoint.identity().service(),
                endpoint.softwareVersion(),
                0,
                remainingMs + LATE_TRY_MS);
        table.put(origin);
        holders.holdersOf(streamId).forEach(box -> links.tell(box, origin));
    }

    /**
     * Finds the version at which a stream goes on.
     *
     * @param query the stream
     * @param listener receives the result, during the call or later
     */
    public void find(Query query, Consumer<StreamVersion> listener) {
        Optional<StreamOrigin> known = query.streamId() == null ? Optional.empty() : lookUp(query);
        Search search = new Search(query, clock.nowMs(), known, listener);
        boolean certain = known.filter(origin -> origin.getBox().equals(self)).isPresent();
        if (certain) {
            decide(search, Source.OWN_RECORD);
        } else if (query.streamId() == null) {
            decide(search, Source.PEER_RECORD);
        } else {
            askOthers(search);
        }
    }

    private Optional<StreamOrigin> lookUp(Query query) {
        return table.find(query.streamId()).filter(origin -> belongsTo(query, origin));
    }

    private static boolean belongsTo(Query query, StreamOrigin origin) {
        return origin.getWorkspace().equals(query.workspace());
    }

    private void askOthers(Search search) {
        long correlation = correlations.next();
        search.awaited.clear();
        // A link that opens before the replies have come leads to a box that was not asked.
        search.linksComplete = links.complete();
        for (String box : holders.reachable()) {
            if (links.ask(box, correlation, search.query.streamId())) {
                search.awaited.add(box);
            }
        }
        if (search.awaited.isEmpty()) {
            conclude(search);
            return;
        }
        searches.put(correlation, search);
        search.timeout = loop.schedule(() -> finish(correlation), REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Asks once more while a box that may know the stream can't be asked yet, as after the start of this one. */
    private void conclude(Search search) {
        boolean wait = search.found.isEmpty() && !search.linksComplete && clock.nowMs() < search.patientUntilMs;
        if (wait) {
            loop.schedule(() -> askAgain(search), ASK_AGAIN_MS, TimeUnit.MILLISECONDS);
        } else {
            decide(search, Source.PEER_RECORD);
        }
    }

    /** Boxes that were linked meanwhile have told this one of the streams that it holds for them. */
    private void askAgain(Search search) {
        lookUp(search.query).ifPresent(search::offer);
        askOthers(search);
    }

    @Override
    public void replied(String boxId, long correlation, Optional<StreamOrigin> reply) {
        Search search = searches.get(correlation);
        if (search == null || !search.awaited.remove(boxId)) {
            return;
        }
        Optional<StreamOrigin> origin = reply.filter(known -> belongsTo(search.query, known));
        origin.ifPresent(search::offer);
        boolean certain = origin.filter(known -> known.getBox().equals(boxId)).isPresent();
        if (certain || search.awaited.isEmpty()) {
            finish(correlation);
        }
    }

    private void finish(long correlation) {
        Search search = searches.remove(correlation);
        if (search != null) {
            search.timeout.cancel(false);
            conclude(search);
        }
    }

    private void decide(Search search, Source source) {
        if (search.found.isPresent()) {
            finish(search, recorded(search.found.get(), source));
        } else if (onlyVersion(search).isEmpty()) {
            finish(search, unknown(search, true));
        } else {
            confirmOnlyVersion(search);
        }
    }

    private void finish(Search search, StreamVersion result) {
        metrics.recordStreamResumed(result.source().code());
        search.listener.accept(result);
    }

    /**
     * Takes the only version that is known if a list that is read from now on shows no other: the stream may have begun on an
     * endpoint that was listed since the last one.
     */
    private void confirmOnlyVersion(Search search) {
        long waitMs = Math.max(MIN_CONFIRM_MS, search.patientUntilMs - clock.nowMs());
        list.read()
                .completeOnTimeout(false, waitMs, TimeUnit.MILLISECONDS)
                .whenCompleteAsync((read, failure) -> finish(search, confirmed(search, failure == null && read)), loop);
    }

    private StreamVersion confirmed(Search search, boolean listRead) {
        return (listRead ? onlyVersion(search) : Optional.<String>empty())
                .map(version -> new StreamVersion(Source.SINGLE_VERSION, "", version, 0, false))
                .orElseGet(() -> unknown(search, listRead));
    }

    private Optional<String> onlyVersion(Search search) {
        return endpoints.onlyVersion(search.query.services(), search.query.lifetimeMs());
    }

    private static StreamVersion recorded(StreamOrigin origin, Source source) {
        return new StreamVersion(source, origin.getService(), origin.getVersion(), origin.getAgeMs(), false);
    }

    private StreamVersion unknown(Search search, boolean listRead) {
        boolean othersMayKnow = !search.awaited.isEmpty() || !holders.allReachable() || !search.linksComplete;
        return new StreamVersion(Source.UNKNOWN, "", "", 0, othersMayKnow || !listRead);
    }

    @Override
    public void linked(String boxId) {
        table.all().stream()
                .filter(origin -> origin.getBox().equals(self))
                .filter(origin -> holders.holdersOf(origin.getStreamId()).contains(boxId))
                .forEach(origin -> links.tell(boxId, origin));
    }

    @Override
    public void told(StreamOrigin origin) {
        table.put(origin);
    }

    @Override
    public Optional<StreamOrigin> asked(String streamId) {
        return table.find(streamId);
    }
}
