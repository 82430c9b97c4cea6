package org.wingstall.peer;

import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.StreamOrigin;
import org.wingstall.schema.peer.StreamOriginAsk;

/** Carries what gateways say about the origins of streams over the links of a mesh. Confined to the mesh's event loop. */
final class MeshStreamOriginLinks implements StreamOriginLinks {
    private final Map<String, PeerLink> links;
    private final BooleanSupplier complete;
    private StreamOriginHost host;

    MeshStreamOriginLinks(Map<String, PeerLink> links, BooleanSupplier complete) {
        this.links = links;
        this.complete = complete;
    }

    void attach(StreamOriginHost originHost) {
        host = originHost;
    }

    @Override
    public boolean tell(String boxId, StreamOrigin origin) {
        return PeerLink.send(links, boxId, Frames.streamOrigin(0, origin));
    }

    @Override
    public boolean ask(String boxId, long correlation, String streamId) {
        return PeerLink.send(links, boxId, Frames.streamOriginAsk(correlation, new StreamOriginAsk(streamId)));
    }

    @Override
    public boolean complete() {
        return complete.getAsBoolean();
    }

    void linked(String boxId) {
        if (host != null) {
            host.linked(boxId);
        }
    }

    /** Takes a frame about origins; returns whether it was one. */
    boolean frame(String boxId, PeerFrame frame) {
        if (host == null) {
            return false;
        }
        if (frame.getStreamOriginAsk() != null) {
            reply(boxId, frame);
        } else if (frame.getStreamOrigin() != null) {
            receive(boxId, frame.getCorrelation(), frame.getStreamOrigin());
        } else {
            return false;
        }
        return true;
    }

    private void reply(String boxId, PeerFrame question) {
        String streamId = question.getStreamOriginAsk().getStreamId();
        StreamOrigin known = host.asked(streamId).orElseGet(() -> new StreamOrigin(streamId, "", 0, "", "", "", 0, 0));
        PeerLink.send(links, boxId, Frames.streamOrigin(question.getCorrelation(), known));
    }

    private void receive(String boxId, long correlation, StreamOrigin origin) {
        if (correlation == 0) {
            host.told(origin);
        } else {
            host.replied(boxId, correlation, Optional.of(origin).filter(known -> !known.getBox()
                    .isEmpty()));
        }
    }
}
