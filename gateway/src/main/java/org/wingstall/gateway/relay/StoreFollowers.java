package org.wingstall.gateway.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.RepeatingClient;
import org.wingstall.peer.PeerMesh;
import org.wingstall.peer.PeerState;
import org.wingstall.peer.PeerTable;
import org.wingstall.platform.PlatformBoxDirectory;
import org.wingstall.platform.PlatformConfigSource;
import org.wingstall.platform.PlatformCrashReports;
import org.wingstall.platform.PlatformEndpointSource;
import org.wingstall.platform.StoreClient;
import org.wingstall.relay.control.BoxFollower;
import org.wingstall.relay.control.ConfigFreshness;
import org.wingstall.relay.control.CrashReportFollower;
import org.wingstall.relay.control.EvacuationState;
import org.wingstall.relay.control.ListFollower;
import org.wingstall.relay.control.OneReaderPerDomainPolicy;
import org.wingstall.relay.control.PeerConfigReader;
import org.wingstall.relay.control.ReadPolicy;
import org.wingstall.relay.control.RelayConfigFollower;
import org.wingstall.relay.control.RelayState;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.BoxDirectory;
import org.wingstall.relay.wire.ConfigDocuments;
import org.wingstall.schema.peer.CrashReport;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.settings.RelaySettings;

/**
 * What a box follows in the platform's store: the configuration, the list of endpoints and the other boxes.
 *
 * <p>{@code followers.start(); ... followers.newerConfigHeard(7);}
 */
final class StoreFollowers {
    /** Longest wait of a call for the configuration at a box that others tell of new versions, in ms; the store allows 30 s. */
    private static final long CONFIG_WAIT_TOLD_MS = 20_000;

    /** Longest wait of a call for crash reports, in ms: a box must know one within 4 s, also if the call is lost. */
    private static final long CRASH_REPORT_WAIT_MS = 3000;

    /**
     * Part of configWithinMs that a call for the configuration waits at a box that reads the store for others: leaves time to
     * notice a silent connection, and for a heartbeat and a read at the others.
     */
    private static final double READER_WAIT_PART = 0.35;

    /**
     * Part of configWithinMs after which a box that was not told that its configuration is current asks itself; longer than
     * a reader's wait and a heartbeat.
     */
    private static final double DOUBT_PART = 0.65;

    /** Time that a lost read of the list takes until it is noticed, in ms; the store client's limit is 700. */
    private static final long READ_AGAIN_MS = 600;

    /** Shortest time between two reads of the list, in ms; the store allows the fleet 2,000 calls a second. */
    private static final long LEAST_INTERVAL_MS = 100;

    /** Time for an answer of the store, in ms; it takes about 4, and a packet that is sent again 200. */
    private static final long ANSWER_MS = 700;

    /** The same for a box that knows nothing yet, in ms: on a third of a processor a start takes most of a second itself. */
    private static final long FIRST_ANSWER_MS = 2500;

    private final RelaySettings settings;
    private final ConfigFreshness freshness;
    private final RepeatingClient calls;
    private final StoreClient store;
    private final PeerMesh mesh;
    private final IntConsumer boxesKnown;
    private final RelayConfigFollower configFollower;
    private final PeerConfigReader peerConfig;
    private final ReadPolicy duty;
    private final ListFollower listFollower;
    private final BoxFollower boxes;
    private final CrashReportFollower crashReports;

    /**
     * Creates the followers.
     *
     * @param settings settings of the process
     * @param control the control loop
     * @param client carries the calls to the store
     * @param clock monotonic clock
     * @param state takes the configuration
     * @param freshness takes when the configuration was confirmed
     * @param evacuations takes the operators' evacuations
     * @param endpoints takes the list
     * @param mesh links to the other boxes
     * @param endpointsChanged told when the list differs
     * @param crashReportRead takes reports of requests that crash endpoints
     * @param crashReportsNow returns the reports that this box knows
     * @param boxesKnown told how many boxes there are
     */
    StoreFollowers(
            RelaySettings settings,
            EventLoop control,
            HttpClient client,
            MonotonicClock clock,
            RelayState state,
            ConfigFreshness freshness,
            EvacuationState evacuations,
            RelayEndpoints endpoints,
            PeerMesh mesh,
            Runnable endpointsChanged,
            Consumer<CrashReport> crashReportRead,
            Supplier<List<CrashReport>> crashReportsNow,
            IntConsumer boxesKnown) {
        this.settings = settings;
        this.freshness = freshness;
        this.mesh = mesh;
        this.boxesKnown = boxesKnown;
        InetSocketAddress address = Addresses.parse(settings.getStoreAddress());
        this.calls = new RepeatingClient(
                client,
                control,
                address,
                () -> known(state, endpoints) ? ANSWER_MS : FIRST_ANSWER_MS,
                () -> known(state, endpoints));
        this.store = new StoreClient(calls, address);
        PlatformConfigSource config = new PlatformConfigSource(store, this::configWaitMs);
        this.configFollower = new RelayConfigFollower(
                control, config, state, evacuations, freshness, clock, doubtAfterMs(), () -> !told());
        this.peerConfig = peerConfigReader(control, config, state);
        this.duty = new OneReaderPerDomainPolicy(settings.getBoxId(), this::heardPeers, mesh::carries);
        this.listFollower = new ListFollower(
                control,
                new PlatformEndpointSource(store),
                endpoints,
                duty,
                clock,
                endpointIntervalMs(settings),
                new ListFollower.ChangeListener() {
                    @Override
                    public void changed() {
                        endpointsChanged.run();
                    }

                    @Override
                    public void announce(MemberNews news) {
                        mesh.tellAll(news);
                    }
                });
        this.crashReports = new CrashReportFollower(
                control, new PlatformCrashReports(store, clock, this::crashReportWaitMs), crashReportRead, this::told);
        BoxDirectory.Box self = new BoxDirectory.Box(
                settings.getBoxId(),
                settings.getFailureDomain(),
                PeerSettings.capacity(settings),
                settings.getPeerAddress());
        this.boxes = new BoxFollower(control, new PlatformBoxDirectory(store), self, this::boxesRead);
        store.onRestored(() -> writeAgain(crashReportsNow.get()));
    }

    /** Writes again what this box had written to a store that was restored from a copy. */
    private void writeAgain(List<CrashReport> reports) {
        boxes.announceAgain();
        crashReports.saveAgain(reports);
    }

    /** Begins to follow. */
    void start() {
        configFollower.start();
        listFollower.start();
        boxes.start();
        crashReports.start();
    }

    /** Returns how often the store was restored from a copy, as it tells. */
    long storeEra() {
        return store.era();
    }

    /** Returns how many reads of the store were sent once more. */
    long repeatedCalls() {
        return calls.repeatedCalls();
    }

    /** Returns whether this box has had time to learn of all others. */
    boolean boxesSettled() {
        return boxes.initialReadsDone();
    }

    /** Returns whether the reports of requests that crash endpoints have been read. */
    boolean crashReportsRead() {
        return crashReports.initialReadDone();
    }

    /** Keeps a report of a request that crashes endpoints. */
    void keep(CrashReport report) {
        crashReports.save(report);
    }

    /** Returns how the list is followed, for heartbeats. */
    ListFollower list() {
        return listFollower;
    }

    /** Records a version of the configuration that a peer has. */
    void newerConfigHeard(long version) {
        configFollower.onNewerVersion(version);
        peerConfig.onNewerVersion(version);
    }

    /** Returns how the configuration is read from peers. */
    PeerConfigReader peerConfig() {
        return peerConfig;
    }

    private PeerConfigReader peerConfigReader(EventLoop control, ConfigDocuments documents, RelayState state) {
        PeerConfigReader reader = new PeerConfigReader(
                control,
                documents,
                state,
                this::versionsOfPeers,
                mesh.configDocuments()::request,
                new SplittableRandom());
        mesh.configDocuments().attach(reader);
        return reader;
    }

    private Map<String, Long> versionsOfPeers() {
        PeerTable peers = mesh.peers();
        return peers.all().stream()
                .filter(peer -> peers.heard(peer) && peer.hello().isSendsConfigDocuments())
                .collect(Collectors.toMap(peer -> peer.hello().getBoxId(), PeerState::revision));
    }

    /** A read that fails once leaves time for another before the bound. */
    private static long endpointIntervalMs(RelaySettings settings) {
        long shortestMs = Math.max(LEAST_INTERVAL_MS, (settings.getLeavingWithinMs() - READ_AGAIN_MS) / 2);
        return settings.getLeavingWithinMs() == 0 ? settings.getEndpointIntervalMs() : shortestMs;
    }

    /** The first reads take connections that are new, and are hedged by their followers. */
    private static boolean known(RelayState state, RelayEndpoints endpoints) {
        return state.config().known() && endpoints.listLoaded();
    }

    /** A box that hears readers learns of a version by their heartbeats, should its own call miss it. */
    private long configWaitMs() {
        long readerWaitMs =
                Math.min(settings.getConfigWaitMs(), Math.round(READER_WAIT_PART * settings.getConfigWithinMs()));
        return told() && freshness.ageMs() < doubtAfterMs() ? CONFIG_WAIT_TOLD_MS : readerWaitMs;
    }

    private long crashReportWaitMs() {
        return Math.min(settings.getConfigWaitMs(), CRASH_REPORT_WAIT_MS);
    }

    private long doubtAfterMs() {
        return Math.round(DOUBT_PART * settings.getConfigWithinMs());
    }

    /** Returns whether this box is told what the boxes know that read the store for its failure domain and others. */
    private boolean told() {
        return !duty.shouldRead();
    }

    private List<OneReaderPerDomainPolicy.Peer> heardPeers() {
        PeerTable peers = mesh.peers();
        return peers.all().stream()
                .filter(peer -> peers.heard(peer) && !peer.stopping())
                .map(peer -> new OneReaderPerDomainPolicy.Peer(
                        peer.hello().getBoxId(), peers.inOwnDomain(peer), peer.listTag() != 0, peer.tableUnheard()))
                .toList();
    }

    private void boxesRead(List<BoxDirectory.Box> read) {
        Map<LinkPlan.Box, InetSocketAddress> addresses = new HashMap<>();
        for (BoxDirectory.Box box : read) {
            LinkPlan.Box peer = new LinkPlan.Box(box.boxId(), box.failureDomain(), box.capacity());
            addresses.put(peer, Addresses.parse(box.peerAddress()));
        }
        mesh.applyBoxes(addresses);
        boxesKnown.accept(read.size());
    }
}
