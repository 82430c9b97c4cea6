package org.wingstall.gateway.control;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.wingstall.peer.PeerMesh;
import org.wingstall.schema.peer.MemberNews;

/**
 * Lets two boxes of a failure domain read the list for all, others each minute, so that its bytes are spread over the boxes.
 *
 * <p>Boxes whose wall clocks differ may for a while have more readers or none; with none, each box reads for itself.
 *
 * <p>{@code ListReaders readers = new DomainListReaders(mesh, System::currentTimeMillis);}
 *
 * @since 0.1
 */
public final class DomainListReaders implements ListReaders {
    private static final int READERS = 2;
    private static final long TURN_MS = TimeUnit.MINUTES.toMillis(1);

    private final PeerMesh mesh;
    private final LongSupplier wallClockMs;

    /**
     * Creates the view of one box.
     *
     * @param mesh links to the peers
     * @param wallClockMs wall-clock time, in ms; decides whose turn it is and nothing else
     */
    public DomainListReaders(PeerMesh mesh, LongSupplier wallClockMs) {
        this.mesh = mesh;
        this.wallClockMs = wallClockMs;
    }

    @Override
    public boolean readsForOthers() {
        long turn = wallClockMs.getAsLong() / TURN_MS;
        return mesh.peers().amongFirst("member-list/" + turn, READERS);
    }

    @Override
    public Set<Integer> tagsReadByOthers() {
        return mesh.peers().listTags();
    }

    @Override
    public void tell(MemberNews news) {
        mesh.tellDomain(news);
    }
}
