package org.wingstall.relay.run;

import java.util.List;
import java.util.Set;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.SendLimits.SelectionMode;
import org.wingstall.relay.engine.EngineAssignment;
import org.wingstall.relay.engine.EngineSelector;
import org.wingstall.relay.engine.InputLocation;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Finds the endpoint for the next attempt of a request: the coordinator selects engines, this box selects other
 * endpoints. Confined to the request loop.
 *
 * <p>{@code search.start(endpointsToAvoid, inputs, untilTargetMs, listener);}
 */
final class EndpointSearch {
    private final RelayContext context;
    private final TargetService service;
    private final RelayRequest request;

    /** Receives the result of a search, either during the call that starts it or later. */
    interface Listener {
        /** An engine was selected. */
        void found(EngineAssignment engine);

        /** An endpoint that is not an engine was selected. */
        void found(RelayEndpoint endpoint);

        /** No candidate takes a request now, because its capacity is used up; one does after the given time. */
        void atCapacity(long retryAfterMs);

        /** There is no candidate. */
        void noEndpoint();
    }

    EndpointSearch(RelayContext context, TargetService service, RelayRequest request) {
        this.context = context;
        this.service = service;
        this.request = request;
    }

    /**
     * Starts a search.
     *
     * @param endpointsToAvoid incarnations that are used only if too few others are left
     * @param inputs location of the request's inputs
     * @param untilTargetMs time left until the route's latency target, in ms
     * @param listener receives the result
     */
    void start(Set<String> endpointsToAvoid, InputLocation inputs, long untilTargetMs, Listener listener) {
        List<RelayEndpoint> candidates = service.candidates(endpointsToAvoid);
        if (candidates.isEmpty()) {
            startLater(listener);
        } else if (service.enginesPrefillPrompt()) {
            EngineSelector.SelectionRequest question = new EngineSelector.SelectionRequest(
                    service.name(), candidates, service.prompt(), inputs, untilTargetMs);
            context.engineSelector().choose(question, receiver(listener));
        } else {
            chooseLocally(candidates, listener);
        }
    }

    private void startLater(Listener listener) {
        long openInMs = service.untriedOpenInMs();
        if (openInMs > 0) {
            listener.atCapacity(openInMs);
        } else {
            listener.noEndpoint();
        }
    }

    private static EngineSelector.SelectionListener receiver(Listener listener) {
        return new EngineSelector.SelectionListener() {
            @Override
            public void chosen(EngineAssignment ticket) {
                listener.found(ticket);
            }

            @Override
            public void noneAvailable(long againMs) {
                listener.atCapacity(againMs);
            }
        };
    }

    private void chooseLocally(List<RelayEndpoint> candidates, Listener listener) {
        // A coordinator selects engines for requests with a prompt, which are most of them; the rest is a fallback.
        SelectionMode chooser = service.hasEngines() ? SelectionMode.FALLBACK : SelectionMode.INDEPENDENT;
        List<RelayEndpoint> open = context.sendLimits().withinLimits(candidates, chooser);
        if (open.isEmpty()) {
            listener.atCapacity(context.sendLimits().retryAfterMs(candidates, chooser));
            return;
        }
        RelayEndpoint chosen = context.endpointChooser().choose(open, request);
        context.sendLimits().recordSend(chosen);
        listener.found(chosen);
    }
}
