package org.wingstall.core.quarantine;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.peer.SimulatedGossipNetwork;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;

/**
 * Tests that boxes stop forwarding crash messages. Guards against a loop in which the start and the end of a trial
 * circulated in the mesh, each arrival making a box forget the other, until processes did nothing else: a simulated day
 * of 41 s used 25 s of processor time per box and had not ended.
 */
public class GossipTest {
    private static final int BOXES = 5;
    private static final Fingerprint SUSPECT = Fingerprint.of("canteen", "POST", "/x", new byte[0]);

    /** More messages than any delivery order needs: several times the number of facts times the number of links. */
    private static final int MOST_MESSAGES = 20_000;

    private final List<Box> boxes = new ArrayList<>();
    private SimulatedGossipNetwork<CrashNews> network;
    private long nowMs = 1000;

    private final class Box implements Quarantine.Listener {
        private final int number;
        private final Quarantine quarantine;

        Box(int number) {
            this.number = number;
            this.quarantine = new Quarantine(
                    SimulatedGossipNetwork.nameOf(number), () -> TimeUnit.MILLISECONDS.toNanos(nowMs), this);
        }

        @Override
        public void broadcast(CrashNews news, String exceptBox) {
            network.broadcast(number, news, exceptBox);
        }

        @Override
        public void persist(CrashReport report) {}

        @Override
        public void changed(CrashReport report, int activeLosses) {}

        @Override
        public void lossReported(String endpoint) {}

        @Override
        public void lostAfterEnd(String endpoint, int requests) {}
    }

    @DataProvider
    Object[][] seeds() {
        Object[][] seeds = new Object[20][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {i};
        }
        return seeds;
    }

    private void connect() {
        boxes.clear();
        network = new SimulatedGossipNetwork<>(BOXES, MOST_MESSAGES, (box, fromBox, news) -> boxes.get(box)
                .quarantine
                .receive(fromBox, news));
        for (int i = 0; i < BOXES; i++) {
            boxes.add(new Box(i));
        }
    }

    /** Losses and answers of requests with the same part cross each other on their way. */
    @Test(dataProvider = "seeds")
    public void boxesAgreeOnAPartInAnyDeliveryOrder(int seed) {
        connect();
        Random random = new Random(seed);
        Fingerprint part = Fingerprint.ofPart("llm", "m", "5957");
        for (int i = 0; i < 30; i++) {
            nowMs += random.nextInt(20);
            Quarantine quarantine = boxes.get(random.nextInt(BOXES)).quarantine;
            if (random.nextInt(4) > 0) {
                Fingerprint request = Fingerprint.of("canteen", "POST", "/" + i, new byte[0]);
                quarantine.endpointLost(request, List.of(part), "e" + i, nowMs);
            } else {
                quarantine.partSurvived(part);
            }
            network.deliver(random, random.nextInt(8));
        }
        network.deliverAll(random);
        List<CrashReport> reports = boxes.stream()
                .map(box -> reportOf(part, box.quarantine))
                .distinct()
                .toList();
        assertEquals(reports.size(), 1, reports.toString());
    }

    /** Returns a box's report without its age and the requests, of which any two are enough. */
    private static CrashReport reportOf(Fingerprint suspect, Quarantine quarantine) {
        return quarantine.reports().stream()
                .filter(report -> report.getFingerprint().equals(suspect.hex()))
                .map(report -> new CrashReport(
                        suspect.hex(),
                        report.getLosses().stream().sorted().toList(),
                        report.getWithdrawn().stream().sorted().toList(),
                        0,
                        report.getEra(),
                        List.of(),
                        report.getRounds()))
                .findFirst()
                .orElseThrow();
    }

    @Test(dataProvider = "seeds")
    public void messagesStopInAnyDeliveryOrder(int seed) {
        connect();
        Random random = new Random(seed);
        boxes.get(0).quarantine.endpointLost(List.of(SUSPECT), "e1", nowMs);
        boxes.get(1).quarantine.endpointLost(List.of(SUSPECT), "e2", nowMs);
        network.deliverAll(random);
        for (int i = 0; i < 6; i++) {
            Quarantine sender = boxes.get(random.nextInt(BOXES)).quarantine;
            Optional<String> trial = sender.sent(() -> SUSPECT, "e" + (3 + i));
            network.deliver(random, random.nextInt(8));
            trial.ifPresent(id -> sender.endTrial(SUSPECT, id));
            network.deliver(random, random.nextInt(8));
        }
        network.deliverAll(random);
        for (Box box : boxes) {
            assertEquals(box.quarantine.endpointsToAvoid(() -> Fingerprint.of("", "", "other", new byte[0])), Set.of());
        }
    }
}
