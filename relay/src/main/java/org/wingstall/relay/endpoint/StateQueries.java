package org.wingstall.relay.endpoint;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.wingstall.relay.wire.EndpointReport;

/**
 * Queries endpoints for their state.
 *
 * <p>{@code queries.query(endpoint, Purpose.OVERDUE_ANSWER, this::apply, () -> markUnresponsive(endpoint));}
 *
 * @since 0.5
 */
@FunctionalInterface
public interface StateQueries {
    /** Why an endpoint is queried. */
    enum Purpose {
        /** Its response to a request is overdue. */
        OVERDUE_ANSWER,
        /** Its response to a call for pieces is overdue. */
        OVERDUE_CALL,
        /** Its connection ended under a request. */
        LOST_CONNECTION,
        /** Another endpoint of its failure domain is unresponsive, or all boxes there are. */
        SILENT_DOMAIN,
        /** It was unresponsive and may respond again. */
        SILENT_ENDPOINT,
        /** It may store results that this box has not counted. */
        FREE_ROOM;

        /** Returns the purpose as named in metrics and log lines. */
        public String code() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * Queries an endpoint. While a query is running, further callers get its result.
     *
     * @param endpoint the endpoint
     * @param purpose why it is queried
     * @param onReport takes its report; empty when its response contained none, which still shows that it is alive
     * @param onNoAnswer called when it didn't respond
     * @return whether it is queried; one that advertises a limit is not, since queries count as requests
     */
    boolean query(
            RelayEndpoint endpoint, Purpose purpose, Consumer<Optional<EndpointReport>> onReport, Runnable onNoAnswer);
}
