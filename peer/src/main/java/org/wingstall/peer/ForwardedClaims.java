package org.wingstall.peer;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.peer.CorrelationSequence;
import org.wingstall.schema.peer.ClaimReply;

/** Changes of claims that peers are asked to commit, until their answer comes or their time is up. */
final class ForwardedClaims {
    private final EventLoop loop;
    private final Map<Long, CompletableFuture<ClaimReply>> waiting = new HashMap<>();
    private final CorrelationSequence correlations = new CorrelationSequence();

    ForwardedClaims(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns the reply of a change that was not handed to a peer; it is told apart by a version below zero. */
    static ClaimReply notSent() {
        return new ClaimReply(ClaimReply.Result.UNANSWERED, -1, null);
    }

    long expect(CompletableFuture<ClaimReply> reply, long timeoutMs) {
        long correlation = correlations.next();
        waiting.put(correlation, reply);
        loop.schedule(() -> expire(correlation), timeoutMs, TimeUnit.MILLISECONDS);
        return correlation;
    }

    void answered(long correlation, ClaimReply reply) {
        CompletableFuture<ClaimReply> waiter = waiting.remove(correlation);
        if (waiter != null) {
            waiter.complete(reply);
        }
    }

    private void expire(long correlation) {
        answered(correlation, new ClaimReply(ClaimReply.Result.UNANSWERED, 0, null));
    }
}
