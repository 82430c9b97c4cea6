package org.wingstall.relay.run;

import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.net.http.HttpCall;

/** Ends one request, once: tells the caller, the counters and the log. Confined to the request loop. */
final class RequestOutcome {
    private final RelayContext context;
    private final HttpCall call;
    private final RequestLogEntry record;
    private final RequestTimes times;
    private final Runnable release;
    private boolean finished;

    /**
     * Creates the outcome of a request in flight.
     *
     * @param release frees what the request holds; run once, before its line is logged
     */
    RequestOutcome(RelayContext context, HttpCall call, RequestLogEntry record, RequestTimes times, Runnable release) {
        this.context = context;
        this.call = call;
        this.record = record;
        this.times = times;
        this.release = release;
    }

    /** Returns whether the request has ended. */
    boolean finished() {
        return finished;
    }

    /** Ends the request after a response of an endpoint was forwarded. */
    void complete(int status) {
        if (!finished) {
            context.metrics().recordCompleted(status, times.elapsedMs());
            finish("complete", status, null);
        }
    }

    /** Ends the request whose caller closed its connection. */
    void callerGone(Reason reason) {
        if (!finished) {
            context.metrics().recordRefusal(reason);
            finish(reason.code(), 0, "the caller closed its connection");
        }
    }

    /**
     * Ends the request with a response of this box.
     *
     * @param retryAfterMs time after which the caller may try again, in ms; 0 to name none
     */
    void refuse(Reason reason, String detail, long retryAfterMs) {
        if (!finished) {
            context.metrics().recordRefusal(reason);
            finish(reason.code(), reason.httpStatus(), detail);
            context.callerProtocol().refuse(call, new RefusedException(reason, detail, retryAfterMs));
        }
    }

    /** Closes the connection, so that the caller does not take an incomplete response for a complete one. */
    void abort(Reason reason, String detail) {
        if (!finished) {
            context.metrics().recordRefusal(reason);
            finish(reason.code() + "-midway", 0, detail);
            call.abort();
        }
    }

    private void finish(String outcome, int status, String detail) {
        finished = true;
        release.run();
        context.log().logRequest(record, outcome, status, detail, times.nowMs());
    }
}
