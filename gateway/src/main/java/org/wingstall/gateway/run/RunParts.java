package org.wingstall.gateway.run;

import java.util.concurrent.CompletableFuture;
import org.wingstall.core.admit.AdmissionPolicy;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.retry.HedgePolicy;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.Metrics;
import org.wingstall.gateway.claim.ClaimKeeper;
import org.wingstall.net.http.HttpClient;
import org.wingstall.schema.settings.GatewaySettings;

/**
 * What all requests of a gateway share.
 *
 * @param settings settings of the process
 * @param clock clock of deadlines
 * @param client HTTP client towards endpoints
 * @param gates slots at endpoints
 * @param times measured times of stages
 * @param admission decides whether a deadline can be met
 * @param budgets retry budgets by service
 * @param hedging says when a second endpoint is called
 * @param hedgeBudgets budgets of such calls by service
 * @param quarantine holds back inputs that crash endpoints
 * @param claims claims of non-repeatable requests
 * @param retryAfter spread of hints
 * @param metrics counters
 * @param recent requests that ended lately
 * @param leaving told of an endpoint that says it is leaving
 * @param checks checks endpoints that may have ended
 * @since 0.1
 */
public record RunParts(
        GatewaySettings settings,
        MonotonicClock clock,
        HttpClient client,
        ServiceGates gates,
        StageTimesTable times,
        AdmissionPolicy admission,
        RetryBudgets budgets,
        HedgePolicy hedging,
        RetryBudgets hedgeBudgets,
        Quarantine quarantine,
        ClaimKeeper claims,
        RetryAfter retryAfter,
        Metrics metrics,
        RecentRequests recent,
        LeavingListener leaving,
        EndpointChecks checks) {
    /** Told of endpoints that say they are leaving. */
    @FunctionalInterface
    public interface LeavingListener {
        /** Records an endpoint. */
        void leaving(EndpointState endpoint);
    }

    /** Checks whether endpoints are alive. */
    public interface EndpointChecks {
        /** Records that a connection to an endpoint ended under a call, and checks the endpoint. */
        void connectionLost(EndpointState endpoint);

        /** Returns whether an endpoint responds now; one that does not gets no work until it does. */
        CompletableFuture<Boolean> isAlive(EndpointState endpoint);
    }
}
