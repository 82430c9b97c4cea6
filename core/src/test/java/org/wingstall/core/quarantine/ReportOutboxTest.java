package org.wingstall.core.quarantine;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;
import org.wingstall.schema.peer.CrashTrial;

/** Tests when reports are sent on which links, and which need not be sent. Boxes whose name begins with "hub" are hubs. */
public class ReportOutboxTest {
    private static final List<String> LINKS = List.of("hub-1", "hub-2", "leaf-1", "leaf-2");
    private static final List<String> NO_HUBS = List.of("leaf-1", "leaf-2");
    private static final Fingerprint SUSPECT = Fingerprint.of("canteen", "POST", "/x", new byte[0]);
    private static final Fingerprint OTHER = Fingerprint.of("canteen", "POST", "/y", new byte[0]);

    private final List<CrashReport> known = new ArrayList<>();
    private long nowMs;

    @BeforeMethod
    public void begin() {
        known.clear();
        nowMs = 1000;
    }

    private ReportOutbox outboxOf(String boxId) {
        return new ReportOutbox(
                boxId, () -> TimeUnit.MILLISECONDS.toNanos(nowMs), box -> box.startsWith("hub"), () -> known);
    }

    private static CrashReport report(Fingerprint suspect, String... losses) {
        return new CrashReport(suspect.hex(), List.of(losses), List.of(), 0, 0, List.of(), 0);
    }

    private static TreeSet<String> receivers(List<ReportOutbox.Batch> batches) {
        TreeSet<String> receivers = new TreeSet<>();
        batches.forEach(batch -> receivers.addAll(batch.boxIds()));
        return receivers;
    }

    @DataProvider
    Object[][] routes() {
        return new Object[][] {
            {"own loss", "leaf-0", LINKS, null, true, "hub-1 hub-2", "leaf-1 leaf-2"},
            {"own loss of a hub", "hub-0", LINKS, null, true, "hub-1 hub-2 leaf-1 leaf-2", ""},
            {"own loss without hubs", "leaf-0", NO_HUBS, null, true, "leaf-1 leaf-2", ""},
            {"heard from a hub", "leaf-0", LINKS, "hub-1", false, "", "hub-2 leaf-1 leaf-2"},
            {"heard from the observer at a hub", "hub-0", LINKS, "leaf-1", false, "leaf-2", "hub-1 hub-2"},
            {"heard from a hub at a hub", "hub-0", LINKS, "hub-1", false, "leaf-1 leaf-2", "hub-2"},
        };
    }

    @Test(dataProvider = "routes")
    public void ownLossesAndWhatHubsForwardAreSentAtOnceAndTheRestLater(
            String what, String boxId, List<String> links, String from, boolean own, String atOnce, String later) {
        ReportOutbox outbox = outboxOf(boxId);
        outbox.add(List.of(report(SUSPECT, "e1")), from, own);
        assertEquals(String.join(" ", receivers(outbox.takeDue(links))), atOnce, what);
        nowMs += ReportOutbox.FORWARDING_MS - 1;
        assertEquals(outbox.takeDue(links), List.of());
        assertEquals(outbox.dueInMs(), OptionalLong.of(1));
        nowMs++;
        assertEquals(String.join(" ", receivers(outbox.takeDue(links))), later, what);
        assertEquals(outbox.dueInMs(), OptionalLong.empty());
    }

    /** Guards against a frame for each of many losses that a box observes within milliseconds. */
    @Test
    public void ownLossesSoonAfterEachOtherShareAFrame() {
        ReportOutbox outbox = outboxOf("leaf-0");
        outbox.add(List.of(report(SUSPECT, "e1")), null, true);
        outbox.takeDue(LINKS);
        for (int i = 0; i < 10; i++) {
            nowMs++;
            Fingerprint suspect = Fingerprint.of("canteen", "POST", "/" + i, new byte[0]);
            outbox.add(List.of(report(suspect, "f" + i)), null, true);
            assertEquals(outbox.takeDue(LINKS), List.of());
        }
        nowMs += ReportOutbox.FORWARDING_MS - 10;
        List<ReportOutbox.Batch> batches = outbox.takeDue(LINKS);
        // Hubs have the first loss already; each link carries one frame.
        assertEquals(
                batches.stream().map(ReportOutbox.Batch::boxIds).toList(),
                List.of(List.of("hub-1", "hub-2"), List.of("leaf-1", "leaf-2")));
        assertEquals(
                batches.stream().map(batch -> batch.news().getReports().size()).toList(), List.of(10, 11));
    }

    /** Guards against a fourth endpoint that a request ends while its earlier losses wait to be sent. */
    @Test
    public void theSecondAndThirdLossOfARequestAreSentAtOnceAndLaterOnesShareAFrame() {
        ReportOutbox outbox = outboxOf("leaf-0");
        outbox.add(List.of(report(SUSPECT, "e1")), null, true);
        outbox.takeDue(LINKS);
        List<String> losses = new ArrayList<>(List.of("e1"));
        for (int i = 2; i <= 10; i++) {
            nowMs++;
            losses.add("e" + i);
            outbox.add(List.of(report(SUSPECT, losses.toArray(String[]::new))), null, true);
            assertEquals(outbox.takeDue(LINKS).size(), i <= 3 ? 1 : 0, "loss " + i);
        }
        nowMs += ReportOutbox.FORWARDING_MS;
        List<ReportOutbox.Batch> batches = outbox.takeDue(LINKS);
        assertEquals(batches.size(), 1);
        assertEquals(batches.get(0).news().getReports().size(), 1);
    }

    @DataProvider
    Object[][] arrivals() {
        return new Object[][] {
            {"the same", report(SUSPECT, "e2", "e1"), "hub-2 leaf-1 leaf-2"},
            {"more", report(SUSPECT, "e1", "e2", "e3"), "hub-2 leaf-1 leaf-2"},
            {
                "a later era",
                new CrashReport(SUSPECT.hex(), List.of(), List.of(), 0, 1, List.of(), 0),
                "hub-2 leaf-1 leaf-2"
            },
            {"less", report(SUSPECT, "e1"), "hub-1 hub-2 leaf-1 leaf-2"},
            {"another suspect", report(OTHER, "e1", "e2"), "hub-1 hub-2 leaf-1 leaf-2"},
        };
    }

    @Test(dataProvider = "arrivals")
    public void reportIsNotSentToABoxThatHasToldAsMuch(String what, CrashReport arrived, String receivers) {
        ReportOutbox outbox = outboxOf("leaf-0");
        outbox.add(List.of(report(SUSPECT, "e1", "e2")), null, false);
        outbox.arrived("hub-1", List.of(arrived));
        nowMs += ReportOutbox.FORWARDING_MS;
        assertEquals(String.join(" ", receivers(outbox.takeDue(LINKS))), receivers, what);
    }

    /** A box that has told as much as waited before lacks what was added since. */
    @Test
    public void reportThatGrowsIsSentToBoxesThatToldTheEarlierOne() {
        ReportOutbox outbox = outboxOf("leaf-0");
        outbox.add(List.of(report(SUSPECT, "e1")), "hub-1", false);
        outbox.arrived("hub-2", List.of(report(SUSPECT, "e1")));
        outbox.add(List.of(report(SUSPECT, "e1", "e2")), "leaf-1", false);
        nowMs += ReportOutbox.FORWARDING_MS;
        assertEquals(receivers(outbox.takeDue(LINKS)), new TreeSet<>(List.of("hub-1", "hub-2", "leaf-2")));
    }

    /** Guards against a loss that seems later than it was, which would extend a hold. */
    @Test
    public void ageContainsTheTimeThatAReportWaited() {
        ReportOutbox outbox = outboxOf("leaf-0");
        outbox.add(List.of(report(SUSPECT, "e1")), "hub-1", false);
        nowMs += ReportOutbox.FORWARDING_MS;
        CrashReport sent = outbox.takeDue(LINKS).get(0).news().getReports().get(0);
        assertEquals(sent.getAgeMs(), ReportOutbox.FORWARDING_MS);
    }

    /** A box that does not know of two losses would send the suspect while it is on trial elsewhere. */
    @Test
    public void trialCarriesThePendingReportOfItsSuspect() {
        ReportOutbox outbox = outboxOf("leaf-0");
        outbox.add(List.of(report(SUSPECT, "e1", "e2"), report(OTHER, "e1")), "hub-1", false);
        CrashNews trial = CrashMessages.ofTrial(new CrashTrial(SUSPECT.hex(), "t1", "e3"));
        CrashNews sent = outbox.withPendingReports(trial, null, LINKS);
        assertEquals(sent.getTrials(), trial.getTrials());
        assertEquals(sent.getReports(), List.of(report(SUSPECT, "e1", "e2")));
        nowMs += ReportOutbox.FORWARDING_MS;
        List<String> later = outbox.takeDue(LINKS).stream()
                .flatMap(batch -> batch.news().getReports().stream())
                .map(CrashReport::getFingerprint)
                .distinct()
                .toList();
        assertEquals(later, List.of(OTHER.hex()));
    }

    @Test
    public void boxThatDialsALinkSendsAllItsReports() {
        known.addAll(List.of(report(SUSPECT, "e1"), report(OTHER, "e2")));
        ReportOutbox outbox = outboxOf("leaf-0");
        outbox.add(List.of(report(SUSPECT, "e1")), "leaf-1", false);
        assertEquals(outbox.linked("hub-1", true), CrashMessages.ofReports(known));
        nowMs += ReportOutbox.FORWARDING_MS;
        assertEquals(receivers(outbox.takeDue(LINKS)), new TreeSet<>(List.of("hub-2", "leaf-2")));
    }

    @Test
    public void boxThatIsDialedSendsWhatTheOtherSideLacks() {
        known.addAll(List.of(report(SUSPECT, "e1", "e2"), report(OTHER, "e2")));
        ReportOutbox outbox = outboxOf("leaf-0");
        assertEquals(outbox.linked("hub-1", false), List.of());
        outbox.arrived("hub-1", List.of(report(SUSPECT, "e1")));
        outbox.arrived("hub-1", List.of(report(OTHER, "e2")));
        assertEquals(outbox.takeDue(LINKS), List.of());
        assertEquals(outbox.dueInMs(), OptionalLong.of(ReportOutbox.FORWARDING_MS));
        nowMs += ReportOutbox.FORWARDING_MS;
        assertEquals(
                outbox.takeDue(LINKS),
                List.of(new ReportOutbox.Batch(new CrashNews(known.subList(0, 1), List.of()), List.of("hub-1"))));
        assertEquals(outbox.dueInMs(), OptionalLong.empty());
    }

    @Test
    public void largeBatchIsSentInSeveralMessages() {
        ReportOutbox outbox = outboxOf("leaf-0");
        List<CrashReport> reports = Stream.iterate(0, i -> i + 1)
                .limit(150)
                .map(i -> report(Fingerprint.of("canteen", "POST", "/" + i, new byte[0]), "e1"))
                .toList();
        outbox.add(reports, null, true);
        List<ReportOutbox.Batch> batches = outbox.takeDue(LINKS);
        assertEquals(
                batches.stream().map(batch -> batch.news().getReports().size()).toList(), List.of(100, 50));
    }
}
