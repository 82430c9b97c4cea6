package org.wingstall.relay.path;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.PeriodicTask;
import org.wingstall.net.http.Connector;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;

/**
 * Tells endpoints that have failed from endpoints whose direct path from this box is lost: the latter accept a
 * connection through another box. Confined to the request loop.
 *
 * <p>A path counts as lost once two direct connections in a row have failed and one through another box succeeded, or
 * one if other paths of this box are lost. The loss of a path makes this box try its paths to all other endpoints, and
 * a lost path is tried again until a direct connection succeeds.
 *
 * <p>{@code if (paths.lost(endpoint)) { connectThroughAnotherBox(); }}
 *
 * @since 0.15
 */
public final class EndpointPaths {
    private static final Logger LOG = LogManager.getLogger(EndpointPaths.class);

    /** Timeout of a trial connection, in ms; a round trip takes about 1 ms. */
    private static final int TRIAL_TIMEOUT_MS = 200;

    /** Failed direct connections in a row from which a path counts as lost. */
    private static final int FAILURES_TO_LOSE = 2;

    /** Trial connections at the same time. */
    private static final int MAX_TRIALS = 16;

    /** Interval between two rounds of trials of lost paths, in ms. */
    private static final long RETRY_INTERVAL_MS = 250;

    /** Lost paths that are tried in a round; all of them once a path is back. */
    private static final int TRIALS_PER_ROUND = 6;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RelayEndpoints endpoints;
    private final Connector direct;
    private final Detours detours;
    private final Consumer<RelayEndpoint> onLost;
    private final Map<String, PathState> states = new HashMap<>();
    private final Set<String> trials = new HashSet<>();
    private final Deque<RelayEndpoint> trialQueue = new ArrayDeque<>();
    private int lostPaths;

    /** What is known of the path to one endpoint that was not reached directly at its last connection. */
    private static final class PathState {
        private int failures;
        private boolean reachedByDetour;
        private boolean lost;
        private long triedAtMs;
    }

    /**
     * Creates paths that all count as direct.
     *
     * @param loop the request loop
     * @param clock monotonic clock
     * @param endpoints endpoints of all services
     * @param direct opens direct connections
     * @param detours ways through other boxes
     * @param onLost receives an endpoint whose direct path was just found to be lost
     */
    public EndpointPaths(
            EventLoop loop,
            MonotonicClock clock,
            RelayEndpoints endpoints,
            Connector direct,
            Detours detours,
            Consumer<RelayEndpoint> onLost) {
        this.loop = loop;
        this.clock = clock;
        this.endpoints = endpoints;
        this.direct = direct;
        this.detours = detours;
        this.onLost = onLost;
    }

    /** Starts to try lost paths again. */
    public void start() {
        PeriodicTask.startAligned(loop, "lost-paths", RETRY_INTERVAL_MS, this::retryLost);
    }

    /** Returns whether an endpoint is reached through other boxes only. */
    public boolean lost(RelayEndpoint endpoint) {
        PathState state = states.get(endpoint.key());
        return state != null && state.lost;
    }

    /** Returns whether any direct path of this box is lost. */
    public boolean anyLost() {
        return lostPaths > 0;
    }

    /** Returns the number of endpoints whose direct path is lost. */
    public int lostPaths() {
        return lostPaths;
    }

    /** Records a direct connection. */
    void directConnected(RelayEndpoint endpoint) {
        PathState state = states.remove(endpoint.key());
        if (state != null && state.lost) {
            lostPaths--;
            LogEvent.info("endpoint-path-restored")
                    .with("endpoint", endpoint.id())
                    .with("service", endpoint.identity().service())
                    .to(LOG);
            lostEndpoints().forEach(this::enqueueTrial);
        }
    }

    /** Records that no direct connection came up. */
    void directFailed(RelayEndpoint endpoint) {
        PathState state = states.computeIfAbsent(endpoint.key(), key -> new PathState());
        state.failures++;
        state.triedAtMs = clock.nowMs();
        update(endpoint, state);
    }

    /** Records a connection through another box, which shows that the endpoint is there. */
    void detourConnected(RelayEndpoint endpoint) {
        PathState state = states.computeIfAbsent(endpoint.key(), key -> new PathState());
        state.reachedByDetour = true;
        update(endpoint, state);
    }

    /** Tries the direct path to an endpoint that may not be reached, unless this is being done. */
    public void check(RelayEndpoint endpoint) {
        if (!lost(endpoint) && endpoints.find(endpoint.id()).orElse(null) == endpoint) {
            enqueueTrial(endpoint);
        }
    }

    private void update(RelayEndpoint endpoint, PathState state) {
        if (state.lost || !state.reachedByDetour) {
            return;
        }
        if (state.failures >= FAILURES_TO_LOSE || anyLost() && state.failures > 0) {
            markLost(endpoint, state);
        } else if (state.failures > 0) {
            enqueueTrial(endpoint);
        }
    }

    private void markLost(RelayEndpoint endpoint, PathState state) {
        boolean first = !anyLost();
        state.lost = true;
        lostPaths++;
        LogEvent.warn("endpoint-path-lost")
                .with("endpoint", endpoint.id())
                .with("service", endpoint.identity().service())
                .with("lostPaths", lostPaths)
                .to(LOG);
        endpoint.markReachable();
        onLost.accept(endpoint);
        if (first) {
            endpoints.all().stream()
                    .filter(other -> !other.state().leaving() && !lost(other))
                    .forEach(this::enqueueTrial);
        }
    }

    private void enqueueTrial(RelayEndpoint endpoint) {
        if (trials.add(endpoint.key())) {
            trialQueue.add(endpoint);
            startTrials();
        }
    }

    private void startTrials() {
        while (!trialQueue.isEmpty() && trials.size() - trialQueue.size() < MAX_TRIALS) {
            tryDirect(trialQueue.poll());
        }
    }

    private void endTrial(RelayEndpoint endpoint) {
        trials.remove(endpoint.key());
        startTrials();
    }

    private void tryDirect(RelayEndpoint endpoint) {
        direct.connect(loop, endpoint.identity().address(), TRIAL_TIMEOUT_MS, new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                channel.close();
                endTrial(endpoint);
                directConnected(endpoint);
            }

            @Override
            public void failed(Throwable cause) {
                directFailed(endpoint);
                PathState state = states.get(endpoint.key());
                if (state.reachedByDetour) {
                    endTrial(endpoint);
                } else {
                    tryDetour(endpoint, new ArrayList<>(detours.boxesFor(endpoint.identity())));
                }
            }
        });
    }

    private void tryDetour(RelayEndpoint endpoint, List<String> boxes) {
        if (boxes.isEmpty()) {
            endTrial(endpoint);
            return;
        }
        detours.open(boxes.remove(0), endpoint.identity(), TRIAL_TIMEOUT_MS, new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                channel.close();
                endTrial(endpoint);
                detourConnected(endpoint);
            }

            @Override
            public void failed(Throwable cause) {
                tryDetour(endpoint, boxes);
            }
        });
    }

    private void retryLost() {
        removeUnlisted();
        lostEndpoints().stream()
                .sorted(Comparator.comparingLong(endpoint -> states.get(endpoint.key()).triedAtMs))
                .limit(TRIALS_PER_ROUND)
                .forEach(this::enqueueTrial);
    }

    private List<RelayEndpoint> lostEndpoints() {
        return anyLost() ? endpoints.all().stream().filter(this::lost).toList() : List.of();
    }

    private void removeUnlisted() {
        if (!states.isEmpty()) {
            Set<String> listed =
                    endpoints.all().stream().map(RelayEndpoint::key).collect(Collectors.toSet());
            states.keySet().retainAll(listed);
            lostPaths =
                    (int) states.values().stream().filter(state -> state.lost).count();
        }
    }
}
