package org.wingstall.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;

/**
 * What boxes tell each other comes to rest. A trial's begin and its end went round a mesh of boxes in turn, each forgotten by
 * the other's arrival, until the processes did nothing else: a day of 41 s used 25 s of processor time a box and had not ended.
 */
public class GossipTest {
    private static final int BOXES = 5;
    private static final Fingerprint SUSPECT = Fingerprint.of("canteen", "POST", "/x", new byte[0]);

    /** More than any order of delivery needs: each of some facts once over each link, several times. */
    private static final int MOST_MESSAGES = 20_000;

    private final List<Box> boxes = new ArrayList<>();
    private final List<Message> underWay = new ArrayList<>();
    private long nowMs = 1000;

    /** A message on one link; links keep their order. */
    private record Message(int from, int to, CrashNews news) {}

    private final class Box implements Quarantine.Listener {
        private final int number;
        private final Quarantine quarantine;

        Box(int number) {
            this.number = number;
            this.quarantine = new Quarantine("box-" + number, () -> TimeUnit.MILLISECONDS.toNanos(nowMs), this);
        }

        @Override
        public void tell(CrashNews news, String exceptBox) {
            for (int to = 0; to < BOXES; to++) {
                if (to != number && !("box-" + to).equals(exceptBox)) {
                    underWay.add(new Message(number, to, news));
                }
            }
        }

        @Override
        public void keep(CrashReport report) {}

        @Override
        public void changed(CrashReport report, int standing) {}
    }

    @DataProvider
    Object[][] seeds() {
        Object[][] seeds = new Object[20][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {i};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void newsComesToRestInWhateverOrderItArrives(int seed) {
        boxes.clear();
        underWay.clear();
        Random random = new Random(seed);
        for (int i = 0; i < BOXES; i++) {
            boxes.add(new Box(i));
        }
        boxes.get(0).quarantine.lost(SUSPECT, "e1");
        boxes.get(1).quarantine.lost(SUSPECT, "e2");
        deliverAll(random);
        for (int i = 0; i < 6; i++) {
            Quarantine sender = boxes.get(random.nextInt(BOXES)).quarantine;
            Optional<String> trial = sender.sent(() -> SUSPECT, "e" + (3 + i));
            deliver(random, random.nextInt(8));
            trial.ifPresent(id -> sender.over(SUSPECT, id));
            deliver(random, random.nextInt(8));
        }
        deliverAll(random);
        for (Box box : boxes) {
            assertEquals(box.quarantine.shunned(() -> Fingerprint.of("", "", "other", new byte[0])), Set.of());
        }
    }

    private void deliverAll(Random random) {
        assertTrue(deliver(random, MOST_MESSAGES) < MOST_MESSAGES, underWay.size() + " messages still under way");
    }

    /** Delivers messages of random links, each link's in order; returns how many. */
    private int deliver(Random random, int most) {
        int delivered = 0;
        while (delivered < most && !underWay.isEmpty()) {
            Message any = underWay.get(random.nextInt(underWay.size()));
            Message first = underWay.stream()
                    .filter(message -> message.from() == any.from() && message.to() == any.to())
                    .findFirst()
                    .orElseThrow();
            underWay.remove(first);
            boxes.get(first.to()).quarantine.heard("box-" + first.from(), first.news());
            delivered++;
        }
        return delivered;
    }
}
