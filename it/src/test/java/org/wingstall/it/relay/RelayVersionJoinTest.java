package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;
import org.wingstall.standin.fleet.StoreStandin.Mode;
import org.wingstall.standin.fleet.WorkerStandin;

/** A stream of a version that had just joined went on at the only version that the box knew of. */
public class RelayVersionJoinTest {
    private static final int EVENTS = 5;

    /** Pause between two reads of the list, in ms; a box that stands still reads no more often. */
    private static final long READ_INTERVAL_MS = 1500;

    /** Time for which a box has to have followed the list, in ms, and some more. */
    private static final long FOLLOWED_MS = 33_000;

    private FleetStandin fleet;
    private RelayBox box;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
        addEngine("old", "v1");
        String settings = fleet.settings("alone", "east")
                .replaceAll("endpointIntervalMs: .*", "endpointIntervalMs: " + READ_INTERVAL_MS);
        box = new RelayBox(settings).awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    private void addEngine(String name, String version) throws Exception {
        WorkerStandin engine = new WorkerStandin(name, EVENTS, 0).writeAs(version);
        fleet.listVersion("engine", "east", name, fleet.start(engine), "ready", version);
    }

    private PartialAnswer takeUp(String id) throws InterruptedException {
        var request = CallerRequests.withOwnPrompt(box.request("resumable", id), id);
        return RelayBox.sendPartially(
                CallerRequests.resuming(request, "begun-elsewhere", 2).build());
    }

    @Test
    public void aStreamIsNotTakenUpAtAVersionThatMayNotHaveBegunIt() throws Exception {
        Pauses.ofMs(FOLLOWED_MS);
        PartialAnswer known = takeUp("while-there-is-one-version");
        assertEquals(known.status(), 200, known.toString());
        fleet.store().mode(Mode.BUSY);
        PartialAnswer unread = takeUp("while-the-store-is-away");
        assertEquals(unread.status(), 503, unread.toString());
        fleet.store().mode(Mode.SERVING);
        Pauses.ofMs(2 * READ_INTERVAL_MS);
        addEngine("new", "v2");
        PartialAnswer joined = takeUp("after-another-version-has-joined");
        assertEquals(joined.status(), 503, joined.toString());
        assertTrue(box.metrics().contains("stream-version-unknown"), box.metrics());
    }
}
