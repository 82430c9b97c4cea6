package org.wingstall.relay.run;

import java.util.List;
import java.util.Set;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.SendLimits.Chooser;
import org.wingstall.relay.engine.EngineBroker;
import org.wingstall.relay.engine.EngineInputs;
import org.wingstall.relay.engine.EngineTicket;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Finds the endpoint that one request is sent to next: an engine by the box that chooses for all, another endpoint by this box.
 * Confined to the request loop.
 *
 * <p>{@code search.begin(shunned, inputsPlace, untilTargetMs, listener);}
 */
final class EndpointSearch {
    private final RelayParts parts;
    private final RunService service;
    private final RelayRequest request;

    /** Takes the end of a search, now or soon. */
    interface Listener {
        /** An engine was chosen. */
        void found(EngineTicket engine);

        /** Another endpoint was chosen. */
        void found(RelayEndpoint endpoint);

        /** All endpoints that may be asked have reduced capacity, which is used up; one may be asked after so many ms. */
        void notNow(long againMs);

        /** No endpoint may be asked. */
        void none();
    }

    EndpointSearch(RelayParts parts, RunService service, RelayRequest request) {
        this.parts = parts;
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
    void begin(Set<String> shunned, EngineInputs inputs, long untilTargetMs, Listener listener) {
        List<RelayEndpoint> candidates = service.candidates(shunned);
        if (candidates.isEmpty()) {
            listener.none();
        } else if (service.readsPrompt()) {
            EngineBroker.Question question =
                    new EngineBroker.Question(service.name(), candidates, service.prompt(), inputs, untilTargetMs);
            parts.engines().choose(question, receiver(listener));
        } else {
            choosePlain(candidates, listener);
        }
    }

    private static EngineBroker.Receiver receiver(Listener listener) {
        return new EngineBroker.Receiver() {
            @Override
            public void chosen(EngineTicket ticket) {
                listener.found(ticket);
            }

            @Override
            public void noneNow(long againMs) {
                listener.notNow(againMs);
            }
        };
    }

    private void choosePlain(List<RelayEndpoint> candidates, Listener listener) {
        // Most requests to engines have a prompt, and one box chooses for those.
        Chooser chooser = service.hasEngines() ? Chooser.ALONE : Chooser.EACH_BOX;
        List<RelayEndpoint> open = parts.limits().open(candidates, chooser);
        if (open.isEmpty()) {
            listener.notNow(parts.limits().againMs(candidates, chooser));
            return;
        }
        RelayEndpoint chosen = parts.services().choose(open, request);
        parts.limits().sent(chosen);
        listener.found(chosen);
    }
}
