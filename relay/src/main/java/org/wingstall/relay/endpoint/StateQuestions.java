package org.wingstall.relay.endpoint;

import java.util.Optional;
import java.util.function.Consumer;
import org.wingstall.relay.wire.EndpointReport;

/**
 * Asks endpoints for their state.
 *
 * <p>{@code questions.ask(endpoint, report -> learn(report), () -> silent(endpoint));}
 *
 * @since 0.5
 */
@FunctionalInterface
public interface StateQuestions {
    /**
     * Asks an endpoint; one that is being asked already gives the same answer to both.
     *
     * @param endpoint the endpoint
     * @param answered takes its report; empty when its answer was none, which is a sign of life still
     * @param silent told when no answer came
     */
    void ask(RelayEndpoint endpoint, Consumer<Optional<EndpointReport>> answered, Runnable silent);
}
