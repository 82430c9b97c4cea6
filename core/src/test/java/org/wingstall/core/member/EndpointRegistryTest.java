package org.wingstall.core.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import org.wingstall.schema.platform.Member;

public class EndpointRegistryTest {
    private final EndpointRegistry registry = new EndpointRegistry(System::nanoTime);

    private static Member member(long incarnation, Member.State state) {
        return new Member("e", Member.Kind.ENDPOINT, "d", "127.0.0.1:1", "s", "c", state, incarnation, 0, 0);
    }

    private boolean leaving() {
        return registry.endpointsOf("s").get(0).leaving();
    }

    @Test
    public void incarnationStaysLeavingDespiteStaleList() {
        registry.applyList(List.of(member(3, Member.State.LIVE)));
        assertTrue(registry.markLeaving("e", 3));
        assertFalse(registry.markLeaving("e", 3));
        registry.applyList(List.of(member(3, Member.State.LIVE)));
        assertTrue(leaving());
        registry.applyList(List.of(member(4, Member.State.LIVE)));
        assertFalse(leaving());
    }

    @Test
    public void ignoresOlderIncarnationInStaleList() {
        EndpointRegistry other = new EndpointRegistry(System::nanoTime);
        other.applyList(List.of(member(5, Member.State.LIVE)));
        other.applyList(List.of(member(4, Member.State.LEAVING)));
        assertEquals(other.endpointsOf("s").get(0).identity().incarnation(), 5);
        assertFalse(other.endpointsOf("s").get(0).leaving());
    }

    @Test
    public void keepsLeavingMarkReceivedBeforeList() {
        EndpointRegistry other = new EndpointRegistry(System::nanoTime);
        other.markLeaving("e", 7);
        other.applyList(List.of(member(7, Member.State.LIVE)));
        assertTrue(other.endpointsOf("s").get(0).leaving());
    }
}
