package org.wingstall.relay.run;

import java.util.concurrent.TimeUnit;

/** Delays a request as long as its response can still meet its target. Confined to the request loop. */
final class TargetWait {
    private final RelayContext context;
    private final RequestTimes times;
    private final TargetService service;
    private final RequestLogEntry record;

    TargetWait(RelayContext context, RequestTimes times, TargetService service, RequestLogEntry record) {
        this.context = context;
        this.times = times;
        this.service = service;
        this.record = record;
    }

    /**
     * Runs an action after a time, unless the response would then miss its target.
     *
     * @param waitMs the time, in ms
     * @param detail what the request waits for
     * @param action the action
     * @return whether the action will run
     */
    boolean tryWait(long waitMs, String detail, Runnable action) {
        boolean inTime = waitMs < times.untilTargetMs() - service.expectedResponseMs();
        if (inTime) {
            record.attemptEnded("waits", detail, times.nowMs());
            context.loop().schedule(action, Math.max(1, waitMs), TimeUnit.MILLISECONDS);
        }
        return inTime;
    }
}
