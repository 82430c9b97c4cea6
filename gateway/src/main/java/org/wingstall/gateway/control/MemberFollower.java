package org.wingstall.gateway.control;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.Jitter;
import org.wingstall.net.log.LogEvent;
import org.wingstall.platform.MembershipList;
import org.wingstall.schema.platform.Member;

/**
 * Follows the platform's membership list; keeps the last one while the platform does not answer.
 *
 * <p>{@code follower.start(); List<Member> members = follower.last();}
 *
 * @since 0.1
 */
public final class MemberFollower {
    private static final Logger LOG = LogManager.getLogger(MemberFollower.class);

    private final MembershipList list;
    private final EventLoop loop;
    private final long intervalMs;
    private final Consumer<List<Member>> changed;
    private volatile List<Member> last = List.of();
    private List<Member> lastRead;

    /**
     * Creates a follower.
     *
     * @param list the platform's list
     * @param loop the control loop
     * @param intervalMs time between two reads, in ms
     * @param changed told of each list
     */
    public MemberFollower(MembershipList list, EventLoop loop, long intervalMs, Consumer<List<Member>> changed) {
        this.list = list;
        this.loop = loop;
        this.intervalMs = intervalMs;
        this.changed = changed;
    }

    /** Begins to follow. */
    public void start() {
        loop.execute(this::poll);
    }

    /** Returns the list last seen; empty when there was none. */
    public List<Member> last() {
        return last;
    }

    /** Takes in a list that a peer gave, if there is none yet. */
    void offerFromPeer(List<Member> members) {
        if (last.isEmpty() && members != null && !members.isEmpty()) {
            take(members);
        }
    }

    private void poll() {
        list.read().whenCompleteAsync(this::polled, loop);
    }

    private void polled(List<Member> members, Throwable failure) {
        if (failure == null) {
            takeFromPlatform(members);
        } else {
            LogEvent.debug("member-poll-failed").cause(failure).to(LOG);
        }
        long delayMs = Jitter.around(intervalMs, ThreadLocalRandom.current().nextDouble());
        loop.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
    }

    private void takeFromPlatform(List<Member> members) {
        if (members == lastRead) {
            return;
        }
        lastRead = members;
        boolean lost = members.isEmpty() && !last.isEmpty();
        if (lost) {
            LogEvent.warn("member-list-empty").with("kept", last.size()).to(LOG);
            return;
        }
        take(members);
    }

    private void take(List<Member> members) {
        last = List.copyOf(members);
        changed.accept(last);
    }
}
