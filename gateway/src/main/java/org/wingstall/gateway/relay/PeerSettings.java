package org.wingstall.gateway.relay;

import java.util.List;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.peer.HubLinks;
import org.wingstall.peer.PeerOptions;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.settings.RelaySettings;

/** Says how a box presents itself to the others and how it keeps its links, from the settings of its process. */
final class PeerSettings {
    /** Pause between heartbeats, in ms: a silent gatherer of pieces is left within a few of them. */
    private static final long HEARTBEAT_MS = 400;

    /** Silence after which a box gathers no pieces, in ms; three heartbeats and some. */
    private static final long SILENT_AFTER_MS = 1300;

    /**
     * Bytes a second for heartbeats, both ways; enough for a hub of 370 boxes at the pause above, so that hubs are never
     * silent for longer than peers wait. A box that is no hub uses a few thousand.
     */
    private static final int HEARTBEAT_BYTES_PER_SECOND = 300_000;

    /** Fleets of up to this many boxes keep links between all of them. */
    private static final int WHOLE_MESH_BOXES = 24;

    /** Hubs of a failure domain in larger fleets: one may be lost, and another takes over its work. */
    private static final int HUBS_PER_DOMAIN = 2;

    private static final int HUNDREDTHS = 100;

    private PeerSettings() {}

    static PeerOptions of(RelaySettings settings) {
        Hello hello = new Hello(
                settings.getBoxId(),
                settings.getFailureDomain(),
                settings.getPeerAddress(),
                System.currentTimeMillis(),
                capacity(settings),
                true,
                true);
        return new PeerOptions(
                hello,
                Addresses.parse(settings.getPeerAddress()),
                List.of(),
                HEARTBEAT_MS,
                SILENT_AFTER_MS,
                HEARTBEAT_BYTES_PER_SECOND,
                new HubLinks(WHOLE_MESH_BOXES, HUBS_PER_DOMAIN));
    }

    /** Returns the processor time of a box, in hundredths of a processor. */
    static int capacity(RelaySettings settings) {
        return (int) Math.round(HUNDREDTHS * settings.getProcessors() * settings.getProcessorShare());
    }
}
