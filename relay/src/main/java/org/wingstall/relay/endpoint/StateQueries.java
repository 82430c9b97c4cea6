package org.wingstall.relay.endpoint;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.wingstall.relay.wire.EndpointReport;

/**
 * Asks endpoints for their state.
 *
 * <p>{@code questions.ask(endpoint, Purpose.OVERDUE_ANSWER, report -> learn(report), () -> silent(endpoint));}
 *
 * @since 0.5
 */
@FunctionalInterface
public interface StateQueries {
    /** Why an endpoint is asked. */
    enum Purpose {
        /** Its answer to a request is overdue. */
        OVERDUE_ANSWER,
        /** Its answer to a call for pieces is overdue. */
        OVERDUE_CALL,
        /** Another endpoint or box of its failure domain is silent. */
        SILENT_DOMAIN,
        /** It was silent, and may answer again. */
        SILENT_ENDPOINT,
        /** It may hold results that this box did not count. */
        FREE_ROOM;

        /** Returns the purpose as metrics and log lines name it. */
        public String code() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * Asks an endpoint; one that is being asked already gives the same answer to both.
     *
     * @param endpoint the endpoint
     * @param purpose why it is asked
     * @param answered takes its report; empty when its answer was none, which is a sign of life still
     * @param silent told when no answer came
     * @return whether it is asked; one that states a limit is not, since questions count as requests
     */
    boolean query(
            RelayEndpoint endpoint, Purpose purpose, Consumer<Optional<EndpointReport>> answered, Runnable silent);
}
