package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.core.member.Addresses;
import org.wingstall.it.harness.Pauses;
import org.wingstall.net.EventLoops;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.fleet.WorkerStandin.Behaviour;
import org.wingstall.standin.proxy.Faults;
import org.wingstall.standin.proxy.Route;

/** A box told that a stream was begun by an endpoint that had lost the request before its first event. */
public class RelayStaleOriginTest {
    private static final String ROOT = "root";
    private static final int EVENTS = 5;

    /** Time for a frame to pass from box to box, in ms; it takes a few. */
    private static final long FRAME_MS = 100;

    private final EventLoopGroup group = EventLoops.group("peer-link", 1);
    private final List<WorkerStandin> engines = new ArrayList<>();
    private FleetStandin fleet;
    private RelayBox holder;
    private RelayBox first;
    private Route link;

    /** Two boxes whose link leads through a proxy, and an engine of each version. */
    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
        engines.clear();
        addEngine("old", "v1");
        addEngine("new", "v2");
        holder = new RelayBox(fleet, "holder").awaitReady();
        link = Route.open(group, new InetSocketAddress("127.0.0.1", 0), holder.peerAddress());
        Awaitility.await().until(() -> fleet.store().has("boxes", "holder"));
        String row = "{\"failureDomain\":\"east\",\"capacity\":1,\"peerAddress\":\"%s\"}";
        fleet.store().put("boxes", "holder", row.formatted(Addresses.format(link.address())));
        first = new RelayBox(fleet, "first").awaitReady();
        for (RelayBox box : List.of(holder, first)) {
            Awaitility.await().until(() -> box.metrics().contains("wingstall_peers_heard 1.0"));
            Awaitility.await().until(() -> box.metrics().contains("wingstall_endpoints_reached 2.0"));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        first.close();
        holder.close();
        fleet.close();
        group.shutdownGracefully();
    }

    private void addEngine(String name, String version) throws Exception {
        WorkerStandin engine = new WorkerStandin(name, EVENTS, 0).writeAs(version);
        engines.add(engine);
        fleet.listVersion("engine", "east", name, fleet.start(engine), "ready", version);
    }

    private PartialAnswer send(RelayBox box, String id, int after) throws InterruptedException {
        var request = CallerRequests.withOwnPrompt(box.request("resumable", id), id);
        return RelayBox.sendPartially((after > 0 ? CallerRequests.resuming(request, ROOT, after) : request).build());
    }

    /** The first endpoint loses the request, and the link between the boxes falls silent; the second begins the stream. */
    private PartialAnswer beginAtSecondEndpoint() throws InterruptedException {
        AtomicInteger arrivals = new AtomicInteger();
        for (WorkerStandin engine : engines) {
            engine.observe(arrival -> {
                if (arrival.id().equals(ROOT) && arrivals.getAndIncrement() == 0) {
                    Pauses.ofMs(FRAME_MS);
                    link.set(Faults.NONE.withFreeze());
                    engine.behave(Behaviour.CLOSES);
                } else if (arrival.id().equals(ROOT)) {
                    engine.behave(Behaviour.CUTS_ANSWER);
                }
            });
        }
        PartialAnswer begun = send(first, ROOT, 0);
        assertEquals(arrivals.get(), 2);
        assertTrue(begun.events().size() > 0, begun.toString());
        return begun;
    }

    @Test
    public void aStreamDoesNotGoOnAtAnEndpointThatDidNotBeginIt() throws Exception {
        PartialAnswer begun = beginAtSecondEndpoint();
        first.close();
        engines.forEach(engine -> engine.behave(Behaviour.ANSWERS));
        PartialAnswer next = send(holder, "next", begun.events().size());
        TreeSet<String> writers = begun.writers();
        writers.addAll(next.writers());
        assertEquals(writers.size(), 1, begun.body() + next.body());
        assertEquals(next.status(), 503, next.toString());
    }
}
