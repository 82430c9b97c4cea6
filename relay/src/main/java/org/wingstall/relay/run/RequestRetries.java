package org.wingstall.relay.run;

import org.wingstall.relay.config.Route;

/** Decides whether one request may be sent to another endpoint. Confined to the request loop. */
final class RequestRetries {
    private final RelayContext context;
    private final Route route;
    private final RequestTimes times;
    private final TargetService service;

    RequestRetries(RelayContext context, Route route, RequestTimes times, TargetService service) {
        this.context = context;
        this.route = route;
        this.times = times;
        this.service = service;
    }

    /**
     * Takes a retry from the service's budget if the request may have one.
     *
     * @param attempts endpoints that the request was sent to so far
     * @param why the reason, for the counter
     */
    boolean tryRetry(int attempts, String why) {
        boolean retry = attempts < route.maxAttempts()
                && times.remainingMs() > 0
                && !service.candidates().isEmpty()
                && context.retryBudgets().of(service.name()).tryRetry();
        if (retry) {
            context.metrics().recordRetry(why);
        }
        return retry;
    }
}
