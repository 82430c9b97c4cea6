package org.wingstall.gateway.control;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
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
    private static final double JITTER = 0.1;

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
        list.read()
                .whenCompleteAsync(
                        (members, failure) -> {
                            if (failure == null) {
                                takeFromPlatform(members);
                            } else {
                                LogEvent.debug("member-poll-failed")
                                        .cause(failure)
                                        .to(LOG);
                            }
                            double jitter =
                                    1 + JITTER * (ThreadLocalRandom.current().nextDouble() * 2 - 1);
                            loop.schedule(this::poll, (long) (intervalMs * jitter), TimeUnit.MILLISECONDS);
                        },
                        loop);
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
