package org.wingstall.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.net.log.LogEvent;
import org.wingstall.table.ConfigTable;

/**
 * Follows the configuration in the platform's table: reads the revision, fetches what is missing, never goes back.
 *
 * <p>{@code follower.start();}
 *
 * @since 0.1
 */
public final class ConfigFollower {
    private static final Logger LOG = LogManager.getLogger(ConfigFollower.class);
    private static final long PEERS_FIRST_MS = 400;

    private final ConfigTable table;
    private final ConfigStore store;
    private final EventLoop loop;
    private final Poller poller;
    private final BooleanSupplier peersExpected;
    private final Runnable changed;
    private volatile long platformRevision;

    /**
     * Creates a follower.
     *
     * @param table the configuration in the platform's table
     * @param store the configuration in force
     * @param loop the control loop
     * @param intervalMs time between two reads of the revision, in ms
     * @param peersExpected whether peers may give the configuration at the start, which spares the platform
     * @param changed told when another revision is in force
     */
    public ConfigFollower(
            ConfigTable table,
            ConfigStore store,
            EventLoop loop,
            long intervalMs,
            BooleanSupplier peersExpected,
            Runnable changed) {
        this.table = table;
        this.store = store;
        this.loop = loop;
        this.poller = new Poller("config", loop, intervalMs, this::poll);
        this.peersExpected = peersExpected;
        this.changed = changed;
    }

    /** Begins to follow. */
    public void start() {
        long firstMs = peersExpected.getAsBoolean()
                ? PEERS_FIRST_MS + ThreadLocalRandom.current().nextLong(PEERS_FIRST_MS)
                : 0;
        poller.start(firstMs);
    }

    /** Returns the revision last read from the platform; 0 when none was. */
    public long platformRevision() {
        return platformRevision;
    }

    private CompletableFuture<?> poll() {
        return table.revision().thenComposeAsync(this::follow, loop);
    }

    private CompletableFuture<Void> follow(long revision) {
        platformRevision = revision;
        long mine = store.current().revision();
        if (revision < mine) {
            LogEvent.warn("platform-behind")
                    .with("platformRevision", revision)
                    .with("revision", mine)
                    .to(LOG);
        }
        if (revision <= mine) {
            return CompletableFuture.completedFuture(null);
        }
        return mine == 0 ? fetchComplete() : fetchDelta(mine);
    }

    private CompletableFuture<Void> fetchDelta(long mine) {
        return table.changesAfter(mine)
                .thenComposeAsync(
                        changes -> {
                            if (!store.offerDelta(changes)) {
                                return fetchComplete();
                            }
                            inForce(mine);
                            return CompletableFuture.completedFuture(null);
                        },
                        loop);
    }

    private CompletableFuture<Void> fetchComplete() {
        long before = store.current().revision();
        return table.complete()
                .thenAcceptAsync(
                        complete -> {
                            store.offerComplete(complete.revision(), complete.cells());
                            inForce(before);
                        },
                        loop);
    }

    private void inForce(long before) {
        long now = store.current().revision();
        if (now > before) {
            LogEvent.info("config-in-force")
                    .with("revision", now)
                    .with("from", "platform")
                    .to(LOG);
            changed.run();
        }
    }
}
