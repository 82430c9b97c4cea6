package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.ConfigSource;
import org.wingstall.relay.wire.EndpointSource;
import org.wingstall.relay.wire.SourceException;

/**
 * Follows configuration and endpoints; keeps what it has while their source does not answer. Runs on the control loop.
 *
 * <p>{@code new SourceFollower(loop, config, state, endpoints, table, 700, changed).start();}
 *
 * @since 0.2
 */
public final class SourceFollower {
    private static final Logger LOG = LogManager.getLogger(SourceFollower.class);

    /** Pause before a read that failed is repeated, in ms; a few reads fit into the time a change may take. */
    private static final long REPEAT_MS = 250;

    private final EventLoop loop;
    private final ConfigSource config;
    private final RelayState state;
    private final EndpointSource endpoints;
    private final RelayEndpoints table;
    private final long endpointIntervalMs;
    private final Runnable endpointsChanged;
    private boolean configHeard = true;
    private boolean endpointsHeard = true;
    private boolean readWhole = true;

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param config where the configuration comes from
     * @param state takes the configuration
     * @param endpoints where the endpoints come from
     * @param table takes the endpoints
     * @param endpointIntervalMs time between two reads of the endpoints, in ms
     * @param endpointsChanged told of each list
     */
    public SourceFollower(
            EventLoop loop,
            ConfigSource config,
            RelayState state,
            EndpointSource endpoints,
            RelayEndpoints table,
            long endpointIntervalMs,
            Runnable endpointsChanged) {
        this.loop = loop;
        this.config = config;
        this.state = state;
        this.endpoints = endpoints;
        this.table = table;
        this.endpointIntervalMs = endpointIntervalMs;
        this.endpointsChanged = endpointsChanged;
    }

    /** Begins to follow. */
    public void start() {
        loop.execute(this::followConfig);
        loop.execute(this::readEndpoints);
    }

    private void followConfig() {
        config.next(readWhole)
                .whenCompleteAsync(
                        (newest, failure) -> {
                            if (failure == null) {
                                readWhole = false;
                                newest.ifPresent(version -> state.offer(version, "store"));
                            } else {
                                readWhole = true;
                            }
                            configHeard = noteHeard("config", configHeard, failure);
                            loop.schedule(this::followConfig, failure == null ? 0 : REPEAT_MS, TimeUnit.MILLISECONDS);
                        },
                        loop);
    }

    private void readEndpoints() {
        endpoints
                .read()
                .whenCompleteAsync(
                        (list, failure) -> {
                            if (failure == null) {
                                table.applyList(list);
                                endpointsChanged.run();
                            } else {
                                table.unread();
                            }
                            endpointsHeard = noteHeard("endpoints", endpointsHeard, failure);
                            long delayMs = failure == null ? endpointIntervalMs : REPEAT_MS;
                            loop.schedule(this::readEndpoints, delayMs, TimeUnit.MILLISECONDS);
                        },
                        loop);
    }

    /** Writes a line when a source is lost or regained; returns whether it was heard. */
    private static boolean noteHeard(String source, boolean before, Throwable failure) {
        boolean heard = failure == null;
        if (before && !heard) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            String kind = cause instanceof SourceException known ? known.kind().name() : "unknown";
            LogEvent.warn("source-lost")
                    .with("source", source)
                    .with("kind", kind)
                    .cause(cause)
                    .to(LOG);
        } else if (!before && heard) {
            LogEvent.info("source-regained").with("source", source).to(LOG);
        }
        return heard;
    }
}
