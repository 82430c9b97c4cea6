package org.wingstall.relay.pool;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.pool.PoolSimulation.Burst;
import org.wingstall.relay.pool.PoolSimulation.PoolSetup;
import org.wingstall.relay.pool.PoolSimulation.RequestKind;
import org.wingstall.relay.pool.PoolSimulation.Result;
import org.wingstall.relay.pool.PoolSimulation.SimulatedEndpoint;

/** Loads at their worst, replayed on the decisions of a pool: what is in time, late, refused and thrown away. */
public class PoolSimulationTest {
    private static final long MB = 1_000_000;
    private static final int SEEDS = 3;

    /** Everything waits, in the order that a gateway uses otherwise. */
    private static final PoolPolicies WITHOUT_ADMISSION =
            new PoolPolicies(GroupOrder.EARLIEST_TARGET, PoolAdmission.ACCEPT_ALL, new WholeGroupPlanner());

    /** Late answers are made as long as their callers wait, whatever they keep from being in time. */
    private static final PoolPolicies WHILE_DUE =
            new PoolPolicies(GroupOrder.EARLIEST_TARGET, PoolAdmission.UNTIL_DEADLINE, new WholeGroupPlanner());

    private static final PoolSpec SPEC = new PoolSpec(1, 2, 7, 200, 24, 15.75 * MB, 4000);
    private static final RequestKind URGENT = new RequestKind("urgent", 0, 6, 4, 3 * MB / 2, 1100, 4.7);
    private static final RequestKind USUAL = new RequestKind("usual", 1, 8, 2, 8000, 1500, 1.1);
    private static final RequestKind BULK = new RequestKind("bulk", 2, 5, 3, 3 * MB / 2, 2500, 0.4);

    private static List<SimulatedEndpoint> threeDomains() {
        return List.of(
                SimulatedEndpoint.sound("a", "east"),
                SimulatedEndpoint.sound("b", "west"),
                SimulatedEndpoint.sound("c", "north"));
    }

    private static PoolSetup site(List<SimulatedEndpoint> makers, double formerResultsPart, Burst... bursts) {
        return new PoolSetup(
                SPEC, makers, List.of(URGENT, USUAL, BULK), List.of(bursts), formerResultsPart, 20_000, 200);
    }

    private static double worth(PoolSetup site, PoolPolicies policies) {
        double sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum += new PoolSimulation(site, policies, seed).play().worth();
        }
        return sum / SEEDS;
    }

    private static int urgentInTime(PoolSetup site, PoolPolicies policies) {
        int sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum += new PoolSimulation(site, policies, seed)
                    .play()
                    .kinds()
                    .get("urgent")
                    .inTime();
        }
        return sum;
    }

    /** Load, policy to compare with, and the least gain of worth over it. */
    @DataProvider
    public Object[][] loads() {
        List<SimulatedEndpoint> sound = threeDomains();
        List<SimulatedEndpoint> oneSlow = List.of(sound.get(0).slow(2), sound.get(1), sound.get(2));
        List<SimulatedEndpoint> oneCut =
                List.of(sound.get(0), sound.get(1), sound.get(2).silent(6000, 12_000));
        Burst urgent = new Burst("urgent", 2.5, 6000, 12_000);
        Burst flood = new Burst("bulk", 8, 6000, 12_000);
        return new Object[][] {
            {"a calm day", site(sound, 0), PoolPolicies.BASELINE, -0.01},
            {"a burst of the urgent kind", site(sound, 0, urgent), PoolPolicies.BASELINE, 0.05},
            {"a burst while a failure domain is cut off", site(oneCut, 0, urgent), PoolPolicies.BASELINE, 0.05},
            {"a kind that floods the others", site(sound, 0, flood), PoolPolicies.BASELINE, 0.1},
            {"a slow endpoint in a burst", site(oneSlow, 0, urgent), PoolPolicies.BASELINE, 0.05},
            {"endpoints full of former results", site(sound, 0.95, urgent), PoolPolicies.BASELINE, 0.05},
            {"a burst while a failure domain is cut off, against late answers", site(oneCut, 0, urgent), WHILE_DUE, 0.03
            },
            {"a flood, against late answers", site(sound, 0, flood), WHILE_DUE, 0.01},
            {"a slow endpoint in a burst, against late answers", site(oneSlow, 0, urgent), WHILE_DUE, 0.01},
            {"a calm day, against late answers", site(sound, 0), WHILE_DUE, -0.01},
            {"a burst, against no admission", site(sound, 0, urgent), WITHOUT_ADMISSION, -0.01},
            {"a cut, against no admission", site(oneCut, 0, urgent), WITHOUT_ADMISSION, -0.01},
        };
    }

    @Test(dataProvider = "loads")
    public void underLoadMoreIsServedInTimeThanBefore(
            String load, PoolSetup site, PoolPolicies before, double leastGain) {
        double worthBefore = worth(site, before);
        double worthAfter = worth(site, PoolPolicies.STANDARD);
        String figures = load + ": worth " + worthBefore + " before, " + worthAfter + " after";
        assertTrue(worthAfter >= worthBefore + leastGain, figures);
    }

    /** Requests that wait until their time is over hold their caller, and the room of what was made for them. */
    @Test(dataProvider = "loads")
    public void whatCannotBeServedIsRefusedRatherThanHeld(
            String load, PoolSetup site, PoolPolicies before, double leastGain) {
        int heldBefore = 0;
        int heldAfter = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            heldBefore += held(new PoolSimulation(site, before, seed).play());
            heldAfter += held(new PoolSimulation(site, PoolPolicies.STANDARD, seed).play());
        }
        assertTrue(
                heldAfter <= 10 + heldBefore / 3, load + ": held " + heldBefore + " before, " + heldAfter + " after");
    }

    private static int held(Result result) {
        return result.kinds().values().stream()
                .mapToInt(PoolSimulation.Outcome::ended)
                .sum();
    }

    @Test
    public void theUrgentKindGainsMostFromABurstOfItsOwn() {
        PoolSetup site = site(threeDomains(), 0, new Burst("urgent", 2.5, 6000, 12_000));
        int before = urgentInTime(site, PoolPolicies.BASELINE);
        int after = urgentInTime(site, PoolPolicies.STANDARD);
        assertTrue(after >= 1.1 * before, "in time " + before + " before, " + after + " after");
    }

    /** While room is short, small groups would pass a large one again and again. */
    @Test
    public void theLargestRequestsAreServedNearlyAsOftenAsAllWhileRoomIsShort() {
        PoolSpec little = new PoolSpec(1, 2, 7, 200, 24, 6 * MB, 4000);
        RequestKind heavy = new RequestKind("heavy", 0, 9, 4, 3 * MB / 2, 2000, 4.7);
        PoolSetup site = new PoolSetup(little, threeDomains(), List.of(heavy), List.of(), 0, 20_000, 400);
        double asked = 0;
        double inTime = 0;
        double largestAsked = 0;
        double largestInTime = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolSimulation.Outcome outcome = new PoolSimulation(site, PoolPolicies.STANDARD, seed)
                    .play()
                    .kinds()
                    .get("heavy");
            asked += outcome.asked();
            inTime += outcome.inTime();
            largestAsked += outcome.largestAsked();
            largestInTime += outcome.largestInTime();
        }
        String figures = inTime + " of " + asked + " in time, " + largestInTime + " of the largest " + largestAsked;
        assertTrue(largestInTime / largestAsked >= 0.6 * inTime / asked, figures);
    }

    private static PoolSetup drawn(SplittableRandom random) {
        int batch = random.nextInt(4, 60);
        double baseMs = random.nextDouble(50, 400);
        PoolSpec spec = new PoolSpec(1, 2, batch, baseMs, baseMs * random.nextDouble(0.5, 1) / batch, 20 * MB, 4000);
        List<SimulatedEndpoint> makers = new ArrayList<>();
        int count = random.nextInt(2, 12);
        for (int i = 0; i < count; i++) {
            SimulatedEndpoint maker = SimulatedEndpoint.sound("m" + i, "domain" + i % 3);
            makers.add(random.nextInt(6) == 0 ? maker.slow(random.nextDouble(1, 4)) : maker);
        }
        double pieces = count * batch * 1000 / spec.callMs(batch) * random.nextDouble(0.2, 0.8);
        List<RequestKind> kinds = new ArrayList<>();
        int kindCount = random.nextInt(1, 5);
        for (int i = 0; i < kindCount; i++) {
            int most = random.nextInt(1, Math.max(2, batch / 2));
            long targetMs = Math.round(spec.callMs(batch) * random.nextDouble(2.5, 8)) + 200;
            double perSecond = pieces / kindCount / ((1 + most) / 2.0);
            long bytes = Math.round(20.0 * MB / batch / random.nextDouble(1.5, 50));
            kinds.add(new RequestKind("kind" + i, i, perSecond, most, bytes, targetMs, 4.0 / (1 + i)));
        }
        Burst burst = new Burst("kind" + random.nextInt(kindCount), random.nextDouble(1, 4), 4000, 9000);
        double former = random.nextInt(4) == 0 ? random.nextDouble() : 0;
        return new PoolSetup(spec, makers, kinds, List.of(burst), former, 10_000, random.nextLong(50, 300));
    }

    /** Policies that decisions are compared with on drawn pools, the loss that counts, and how many pools may have it. */
    @DataProvider
    public Object[][] earlierDecisions() {
        return new Object[][] {{PoolPolicies.BASELINE, 0.03, 4}, {WHILE_DUE, 0.01, 0}};
    }

    /** Holds for pools that are not of today: costs, room, endpoints and kinds are drawn at random. */
    @Test(dataProvider = "earlierDecisions")
    public void onDrawnPoolsTheDecisionsAreNoWorseThanEarlierOnes(
            PoolPolicies earlier, double countsFrom, int mostWorse) {
        int sites = 60;
        double sumBefore = 0;
        double sumAfter = 0;
        List<String> worse = new ArrayList<>();
        for (int seed = 1; seed <= sites; seed++) {
            PoolSetup site = drawn(new SplittableRandom(seed));
            double before = new PoolSimulation(site, earlier, seed).play().worth();
            double after =
                    new PoolSimulation(site, PoolPolicies.STANDARD, seed).play().worth();
            sumBefore += before;
            sumAfter += after;
            if (after < before - countsFrom) {
                worse.add("seed " + seed + ": " + before + " before, " + after + " after");
            }
        }
        assertTrue(worse.size() <= mostWorse, worse.size() + " of " + sites + " drawn pools are worse: " + worse);
        assertTrue(sumAfter > sumBefore, "mean worth " + sumBefore / sites + " before, " + sumAfter / sites + " after");
    }
}
