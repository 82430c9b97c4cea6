package org.wingstall.relay.path;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.Connector;
import org.wingstall.relay.endpoint.RelayEndpoint;

/**
 * One attempt to connect to an endpoint: directly with a head start, then through other boxes as well, and the first
 * connection wins. While the direct path is lost other boxes come first. Confined to the request loop.
 */
final class ConnectionRace {
    /** Head start of the direct connection, in ms: many round trips, and less than the latency targets of callers. */
    private static final long HEAD_START_MS = 75;

    /** The same while other paths of this box are lost, in ms. */
    private static final long SHORT_HEAD_START_MS = 20;

    /** Lateness of a timer, in ms, from which the loop stood still and the connection may have come up meanwhile. */
    private static final long LATE_MS = 20;

    /** Longest wait for a connection through one box, in ms. */
    private static final int DETOUR_TIMEOUT_MS = 200;

    /** Remaining time with which no further attempt is made, in ms. */
    private static final int MIN_TIMEOUT_MS = 10;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final EndpointPaths paths;
    private final Connector direct;
    private final Detours detours;
    private final RelayEndpoint endpoint;
    private final long deadlineMs;
    private final Connector.Listener listener;
    private Iterator<String> boxes;
    private boolean directStarted;
    private int pending;
    private boolean decided;

    ConnectionRace(
            EventLoop loop,
            MonotonicClock clock,
            EndpointPaths paths,
            Connector direct,
            Detours detours,
            RelayEndpoint endpoint,
            int timeoutMs,
            Connector.Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.paths = paths;
        this.direct = direct;
        this.detours = detours;
        this.endpoint = endpoint;
        this.deadlineMs = clock.nowMs() + timeoutMs;
        this.listener = listener;
    }

    void start() {
        if (paths.lost(endpoint)) {
            startDetours();
        } else {
            startDirect();
            scheduleDetours(paths.anyLost() ? SHORT_HEAD_START_MS : HEAD_START_MS);
        }
    }

    private int remainingMs() {
        return (int) (deadlineMs - clock.nowMs());
    }

    private void startDirect() {
        directStarted = true;
        pending++;
        direct.connect(loop, endpoint.identity().address(), Math.max(1, remainingMs()), new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                pending--;
                paths.directConnected(endpoint);
                win(channel);
            }

            @Override
            public void failed(Throwable cause) {
                pending--;
                paths.directFailed(endpoint);
                startDetours();
                loseIfLast(cause);
            }
        });
    }

    private void scheduleDetours(long delayMs) {
        long dueAtMs = clock.nowMs() + delayMs;
        loop.schedule(
                () -> {
                    if (clock.nowMs() - dueAtMs < LATE_MS) {
                        startDetours();
                    } else if (!decided) {
                        scheduleDetours(delayMs);
                    }
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    private void startDetours() {
        if (!decided && boxes == null) {
            boxes = detours.boxesFor(endpoint.identity()).iterator();
            nextDetour(null);
        }
    }

    private void nextDetour(Throwable cause) {
        int timeoutMs = Math.min(DETOUR_TIMEOUT_MS, remainingMs());
        if (decided || !boxes.hasNext() || timeoutMs < MIN_TIMEOUT_MS) {
            detoursFailed(cause);
            return;
        }
        pending++;
        detours.open(boxes.next(), endpoint.identity(), timeoutMs, new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                pending--;
                paths.detourConnected(endpoint);
                win(channel);
            }

            @Override
            public void failed(Throwable failure) {
                pending--;
                nextDetour(failure);
            }
        });
    }

    private void detoursFailed(Throwable cause) {
        if (!decided && !directStarted) {
            startDirect();
        } else if (cause != null) {
            loseIfLast(cause);
        }
    }

    private void win(Channel channel) {
        if (decided) {
            channel.close();
        } else {
            decided = true;
            listener.connected(channel);
        }
    }

    private void loseIfLast(Throwable cause) {
        if (!decided && pending == 0) {
            decided = true;
            listener.failed(cause);
        }
    }
}
