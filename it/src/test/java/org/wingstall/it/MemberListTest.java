package org.wingstall.it;

import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.TestFleet;
import org.wingstall.schema.platform.Member;

/** Boxes of one failure domain read the platform's membership list for each other. */
public class MemberListTest {
    private static final Duration BOUND = Duration.ofSeconds(20);
    private static final String FROM_PEER = "wingstall_members_lists_total{from=\"peer\"}";
    private static final String FROM_PLATFORM = "wingstall_members_lists_total{from=\"platform\"}";

    private TestFleet fleet;
    private TestFleet.Endpoint changing;
    private long incarnation = 1;

    @BeforeMethod
    public void startFleet() {
        fleet = Fleets.fourInOneDomain("member-list", "peering: {silentAfterMs: 3000}");
        changing = fleet.endpoint("far-constanta-a-0");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    @Test
    public void aChangeIsReadByAFewBoxesAndReachesAll() {
        Awaitility.await("two boxes learn a change without reading the list")
                .atMost(Duration.ofSeconds(60))
                .until(() -> {
                    List<Double> readBefore = readByEach();
                    List<Double> toldBefore = countOfEach(FROM_PEER);
                    changeAndAwait(fleet.boxes());
                    return unchanged(readBefore, readByEach()) >= 2
                            && unchanged(toldBefore, countOfEach(FROM_PEER)) <= 2;
                });
    }

    @Test
    public void aBoxThatIsCutOffFromThePlatformAloneLearnsChangesFromPeers() {
        fleet.routeFaults(fleet.box("box-4").platformRoute(), "{\"cut\": true}");
        changeAndAwait(fleet.boxes());
    }

    @Test
    public void theOthersGoOnWhenReadersAreGoneOrCutOff() {
        fleet.box("box-1").process().kill();
        fleet.routeFaults(fleet.box("box-2").platformRoute(), "{\"cut\": true}");
        changeAndAwait(List.of(fleet.box("box-2"), fleet.box("box-3"), fleet.box("box-4")));
        fleet.routeFaults(fleet.box("box-3").platformRoute(), "{\"cut\": true}");
        changeAndAwait(List.of(fleet.box("box-2"), fleet.box("box-3"), fleet.box("box-4")));
    }

    /** Lets an endpoint leave or come back as its next incarnation and waits until the boxes know. */
    private void changeAndAwait(List<TestFleet.Box> boxes) {
        boolean leave = fleet.stateAt(boxes.get(0), changing.id()).equals("serving");
        if (!leave) {
            incarnation++;
        }
        fleet.register(changing, leave ? Member.State.LEAVING : Member.State.LIVE, incarnation);
        Awaitility.await("every box has the change").atMost(BOUND).until(() -> boxes.stream()
                .allMatch(box -> fleet.stateAt(box, changing.id()).equals(leave ? "leaving" : "serving")));
    }

    private List<Double> readByEach() {
        return countOfEach(FROM_PLATFORM);
    }

    private List<Double> countOfEach(String metric) {
        return fleet.boxes().stream().map(box -> fleet.metric(box, metric)).toList();
    }

    private static long unchanged(List<Double> before, List<Double> after) {
        long same = 0;
        for (int i = 0; i < before.size(); i++) {
            if (before.get(i).equals(after.get(i))) {
                same++;
            }
        }
        return same;
    }
}
