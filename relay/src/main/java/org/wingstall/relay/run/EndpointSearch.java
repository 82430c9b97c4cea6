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
 * Finds the endpoint that one request is sent to next: an engine by the box that chooses for all, another endpoint by this box.
 * Confined to the request loop.
 *
 * <p>{@code search.begin(shunned, inputsPlace, untilTargetMs, listener);}
 */
final class EndpointSearch {
    private final RelayContext context;
    private final TargetService service;
    private final RelayRequest request;

    /** Takes the end of a search, now or soon. */
    interface Listener {
        /** An engine was chosen. */
        void found(EngineAssignment engine);

        /** Another endpoint was chosen. */
        void found(RelayEndpoint endpoint);

        /** All endpoints that may be asked have reduced capacity, which is used up; one may be asked after so many ms. */
        void atCapacity(long againMs);

        /** No endpoint may be asked. */
        void noEndpoint();
    }

    EndpointSearch(RelayContext context, TargetService service, RelayRequest request) {
        this.context = context;
        this.service = service;
        this.request = request;
    }

    /**
     * Looks for an endpoint.
     *
     * @param shunned names of incarnations that are better left alone
     * @param inputs where the request's inputs lie
     * @param untilTargetMs time left until its first answer is wanted, in ms
     * @param listener takes the end
     */
    void start(Set<String> shunned, InputLocation inputs, long untilTargetMs, Listener listener) {
        List<RelayEndpoint> candidates = service.candidates(shunned);
        if (candidates.isEmpty()) {
            listener.noEndpoint();
        } else if (service.enginesPrefillPrompt()) {
            EngineSelector.SelectionRequest question = new EngineSelector.SelectionRequest(
                    service.name(), candidates, service.prompt(), inputs, untilTargetMs);
            context.engineSelector().choose(question, receiver(listener));
        } else {
            chooseLocally(candidates, listener);
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
        // Most requests to engines have a prompt, and one box chooses for those.
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
