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

/** Compares the standard policies of a pool with simpler ones in simulations of difficult loads. */
public class PoolSimulationTest {
    private static final long MB = 1_000_000;
    private static final int SEEDS = 3;

    /** The standard order without admission control. */
    private static final PoolPolicies WITHOUT_ADMISSION =
            new PoolPolicies(GroupOrder.EARLIEST_TARGET, PoolAdmission.ACCEPT_ALL, new WholeGroupPlanner());

    /** Serves late groups until their deadline, even when that makes other groups late. */
    private static final PoolPolicies WHILE_DUE =
            new PoolPolicies(GroupOrder.EARLIEST_TARGET, PoolAdmission.UNTIL_DEADLINE, new WholeGroupPlanner());

    private static final PoolSpec SPEC = new PoolSpec(1, 2, 7, 200, 24, 15.75 * MB, 4000);
    private static final RequestKind URGENT = new RequestKind("urgent", 0, 6, 4, 3 * MB / 2, 1100, 4.7);
    private static final RequestKind USUAL = new RequestKind("usual", 1, 8, 2, 8000, 1500, 1.1);
    private static final RequestKind BULK = new RequestKind("bulk", 2, 5, 3, 3 * MB / 2, 2500, 0.4);

    private static List<SimulatedEndpoint> threeEndpoints() {
        return List.of(
                SimulatedEndpoint.healthy("a", "east"),
                SimulatedEndpoint.healthy("b", "west"),
                SimulatedEndpoint.healthy("c", "north"));
    }

    private static PoolSetup setup(List<SimulatedEndpoint> makers, double formerResultsPart, Burst... bursts) {
        return new PoolSetup(
                SPEC, makers, List.of(URGENT, USUAL, BULK), List.of(bursts), formerResultsPart, 20_000, 200);
    }

    private static double meanValue(PoolSetup site, PoolPolicies policies) {
        double sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum += new PoolSimulation(site, policies, seed).run().value();
        }
        return sum / SEEDS;
    }

    private static int urgentInTime(PoolSetup site, PoolPolicies policies) {
        int sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum += new PoolSimulation(site, policies, seed)
                    .run()
                    .kinds()
                    .get("urgent")
                    .inTime();
        }
        return sum;
    }

    /** Load, policies to compare with, and the minimum gain in value over them. */
    @DataProvider
    public Object[][] loads() {
        List<SimulatedEndpoint> sound = threeEndpoints();
        List<SimulatedEndpoint> oneSlow = List.of(sound.get(0).slow(2), sound.get(1), sound.get(2));
        List<SimulatedEndpoint> oneCut =
                List.of(sound.get(0), sound.get(1), sound.get(2).unresponsive(6000, 12_000));
        Burst urgent = new Burst("urgent", 2.5, 6000, 12_000);
        Burst flood = new Burst("bulk", 8, 6000, 12_000);
        return new Object[][] {
            {"a calm day", setup(sound, 0), PoolPolicies.BASELINE, -0.01},
            {"a burst of the urgent kind", setup(sound, 0, urgent), PoolPolicies.BASELINE, 0.05},
            {"a burst while a failure domain is cut off", setup(oneCut, 0, urgent), PoolPolicies.BASELINE, 0.05},
            {"a kind that floods the others", setup(sound, 0, flood), PoolPolicies.BASELINE, 0.1},
            {"a slow endpoint in a burst", setup(oneSlow, 0, urgent), PoolPolicies.BASELINE, 0.05},
            {"endpoints full of former results", setup(sound, 0.95, urgent), PoolPolicies.BASELINE, 0.05},
            {
                "a burst while a failure domain is cut off, against late answers",
                setup(oneCut, 0, urgent),
                WHILE_DUE,
                0.03
            },
            {"a flood, against late answers", setup(sound, 0, flood), WHILE_DUE, 0.01},
            {"a slow endpoint in a burst, against late answers", setup(oneSlow, 0, urgent), WHILE_DUE, 0.01},
            {"a calm day, against late answers", setup(sound, 0), WHILE_DUE, -0.01},
            {"a burst, against no admission", setup(sound, 0, urgent), WITHOUT_ADMISSION, -0.01},
            {"a cut, against no admission", setup(oneCut, 0, urgent), WITHOUT_ADMISSION, -0.01},
        };
    }

    @Test(dataProvider = "loads")
    public void standardPoliciesYieldMoreValueThanEarlierOnes(
            String load, PoolSetup site, PoolPolicies before, double leastGain) {
        double worthBefore = meanValue(site, before);
        double worthAfter = meanValue(site, PoolPolicies.STANDARD);
        String figures = load + ": worth " + worthBefore + " before, " + worthAfter + " after";
        assertTrue(worthAfter >= worthBefore + leastGain, figures);
    }

    /** Requests that wait until their deadline keep their caller waiting, and their results take capacity. */
    @Test(dataProvider = "loads")
    public void requestsThatCannotBeServedAreRejectedBeforeTheirDeadline(
            String load, PoolSetup site, PoolPolicies before, double leastGain) {
        int heldBefore = 0;
        int heldAfter = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            heldBefore += expired(new PoolSimulation(site, before, seed).run());
            heldAfter += expired(new PoolSimulation(site, PoolPolicies.STANDARD, seed).run());
        }
        assertTrue(
                heldAfter <= 10 + heldBefore / 3, load + ": held " + heldBefore + " before, " + heldAfter + " after");
    }

    private static int expired(Result result) {
        return result.kinds().values().stream()
                .mapToInt(PoolSimulation.Outcome::expired)
                .sum();
    }

    @Test
    public void urgentRequestsGainDuringABurstOfTheirOwn() {
        PoolSetup site = setup(threeEndpoints(), 0, new Burst("urgent", 2.5, 6000, 12_000));
        int before = urgentInTime(site, PoolPolicies.BASELINE);
        int after = urgentInTime(site, PoolPolicies.STANDARD);
        assertTrue(after >= 1.1 * before, "in time " + before + " before, " + after + " after");
    }

    /** While result capacity is low, small groups could overtake a large one again and again. */
    @Test
    public void largestRequestsAreServedNearlyAsOftenAsAllWhileCapacityIsLow() {
        PoolSpec little = new PoolSpec(1, 2, 7, 200, 24, 6 * MB, 4000);
        RequestKind heavy = new RequestKind("heavy", 0, 9, 4, 3 * MB / 2, 2000, 4.7);
        PoolSetup site = new PoolSetup(little, threeEndpoints(), List.of(heavy), List.of(), 0, 20_000, 400);
        double asked = 0;
        double inTime = 0;
        double largestAsked = 0;
        double largestInTime = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolSimulation.Outcome outcome = new PoolSimulation(site, PoolPolicies.STANDARD, seed)
                    .run()
                    .kinds()
                    .get("heavy");
            asked += outcome.requests();
            inTime += outcome.inTime();
            largestAsked += outcome.largestRequests();
            largestInTime += outcome.largestInTime();
        }
        String figures = inTime + " of " + asked + " in time, " + largestInTime + " of the largest " + largestAsked;
        assertTrue(largestInTime / largestAsked >= 0.6 * inTime / asked, figures);
    }

    private static PoolSetup randomSetup(SplittableRandom random) {
        int batch = random.nextInt(4, 60);
        double baseMs = random.nextDouble(50, 400);
        PoolSpec spec = new PoolSpec(1, 2, batch, baseMs, baseMs * random.nextDouble(0.5, 1) / batch, 20 * MB, 4000);
        List<SimulatedEndpoint> makers = new ArrayList<>();
        int count = random.nextInt(2, 12);
        for (int i = 0; i < count; i++) {
            SimulatedEndpoint maker = SimulatedEndpoint.healthy("m" + i, "domain" + i % 3);
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

    /**
     * Policies to compare with on random pools, the loss of value that counts, and the number of pools that may have
     * it.
     */
    @DataProvider
    public Object[][] earlierPolicies() {
        return new Object[][] {{PoolPolicies.BASELINE, 0.03, 4}, {WHILE_DUE, 0.01, 0}};
    }

    /** Call times, result capacity, endpoints and kinds of requests are random, to cover pools other than today's. */
    @Test(dataProvider = "earlierPolicies")
    public void standardPoliciesAreNoWorseThanEarlierOnesOnRandomPools(
            PoolPolicies earlier, double tolerance, int maxWorse) {
        int sites = 60;
        double sumBefore = 0;
        double sumAfter = 0;
        List<String> worse = new ArrayList<>();
        for (int seed = 1; seed <= sites; seed++) {
            PoolSetup site = randomSetup(new SplittableRandom(seed));
            double before = new PoolSimulation(site, earlier, seed).run().value();
            double after =
                    new PoolSimulation(site, PoolPolicies.STANDARD, seed).run().value();
            sumBefore += before;
            sumAfter += after;
            if (after < before - tolerance) {
                worse.add("seed " + seed + ": " + before + " before, " + after + " after");
            }
        }
        assertTrue(worse.size() <= maxWorse, worse.size() + " of " + sites + " drawn pools are worse: " + worse);
        assertTrue(sumAfter > sumBefore, "mean worth " + sumBefore / sites + " before, " + sumAfter / sites + " after");
    }
}
