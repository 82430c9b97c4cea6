package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.EndpointSource;

/**
 * Follows the list of endpoints: reads it at every turn where that is this box's duty, and otherwise when a peer's heartbeat
 * tells of a change that this box has not read yet. Runs on the control loop.
 *
 * <p>Heartbeats carry the version of the source at which the sender saw the list change last. {@code follower.start();}
 *
 * @since 0.3
 */
public final class ListFollower {
    /** Turns within which a reader has to have read the list to vouch for it; one read may fail. */
    private static final int FRESH_TURNS = 3;

    /** Longest time without a read of its own, in ms, whatever peers say. */
    private static final long MOST_AGE_MS = 10_000;

    /** Time after an outage for which every box reads, in ms: entries that lapsed have about 2 s to come back. */
    private static final long SETTLE_MS = 4000;

    private final EventLoop loop;
    private final EndpointSource source;
    private final RelayEndpoints table;
    private final ReadingDuty duty;
    private final MonotonicClock clock;
    private final long intervalMs;
    private final Runnable changed;
    private final SourceHealth health = new SourceHealth("endpoints");
    private boolean reading;
    private long settledAtMs = Long.MIN_VALUE;
    private volatile long asOfVersion;
    private volatile long changedVersion;
    private volatile long readAtMs = Long.MIN_VALUE / 2;

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param source where the list comes from
     * @param table takes the list
     * @param duty whether this box reads at every turn
     * @param clock monotonic clock
     * @param intervalMs time between two turns, in ms
     * @param changed told when the list differs from the one before
     */
    public ListFollower(
            EventLoop loop,
            EndpointSource source,
            RelayEndpoints table,
            ReadingDuty duty,
            MonotonicClock clock,
            long intervalMs,
            Runnable changed) {
        this.loop = loop;
        this.source = source;
        this.table = table;
        this.duty = duty;
        this.clock = clock;
        this.intervalMs = intervalMs;
        this.changed = changed;
    }

    /** Begins to follow. */
    public void start() {
        loop.execute(this::turn);
    }

    /** Returns whether the source gave no answer to the last read; read on any thread. */
    public boolean unanswered() {
        return !health.answers();
    }

    /**
     * Returns the version at which the list changed last, for heartbeats; 0 while this box has not read it lately. Read on
     * any thread.
     */
    public int changedVersion() {
        boolean fresh = clock.nowMs() - readAtMs < FRESH_TURNS * intervalMs;
        return fresh && health.answers() ? (int) changedVersion : 0;
    }

    /**
     * Takes note of the version at which a peer saw the list change last. For use on any thread.
     *
     * @param version the version; 0 when the peer has not read the list lately
     */
    public void peerSawChange(int version) {
        boolean newer = version != 0 && version - (int) asOfVersion > 0;
        if (newer) {
            loop.execute(this::readUnlessReading);
        } else if (version != 0) {
            table.confirmed();
        }
    }

    private void turn() {
        long nowMs = clock.nowMs();
        boolean due = !health.answers() || nowMs < settledAtMs || nowMs - readAtMs >= MOST_AGE_MS || duty.mine();
        if (due) {
            readUnlessReading();
        }
        long delayMs = health.answers() ? intervalMs : health.repeatMs(table.known());
        loop.schedule(this::turn, delayMs, TimeUnit.MILLISECONDS);
    }

    private void readUnlessReading() {
        if (!reading) {
            reading = true;
            source.read().whenCompleteAsync(this::read, loop);
        }
    }

    private void read(EndpointSource.Listing listing, Throwable failure) {
        reading = false;
        if (failure == null) {
            apply(listing);
        } else {
            table.unread();
            settledAtMs = Long.MAX_VALUE;
        }
        health.ended(failure);
    }

    private void apply(EndpointSource.Listing listing) {
        if (!health.answers()) {
            settledAtMs = clock.nowMs() + SETTLE_MS;
        }
        boolean differs = table.applyList(listing.entries());
        asOfVersion = Math.max(asOfVersion, listing.version());
        if (differs) {
            changedVersion = listing.version();
            changed.run();
        }
        readAtMs = clock.nowMs();
    }
}
