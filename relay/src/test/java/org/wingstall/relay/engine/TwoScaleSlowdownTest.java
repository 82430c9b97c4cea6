package org.wingstall.relay.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how the slowdown factor of an engine follows its answers. */
public class TwoScaleSlowdownTest {
    private static final int ANSWER_EVERY_MS = 300;

    private SlowdownMean mean;
    private TwoScaleSlowdown slowdown;
    private long nowMs;

    @BeforeMethod
    public void create() {
        mean = new SlowdownMean();
        for (int i = 0; i < 60; i++) {
            mean.add(1);
        }
        slowdown = new TwoScaleSlowdown(mean);
        nowMs = 1000;
    }

    private void answer(int answers, double ratio) {
        for (int i = 0; i < answers; i++) {
            answerAfterWait(ratio, 0);
        }
    }

    private void answerAfterWait(double ratio, double waitMs) {
        nowMs += ANSWER_EVERY_MS;
        slowdown.record(new EngineSlowdown.Sample(100, waitMs, 100 + waitMs, waitMs + 100 * ratio), nowMs);
    }

    private double relative() {
        return slowdown.factor(nowMs) / mean.value();
    }

    @DataProvider
    public Object[][] ratios() {
        return new Object[][] {{0.5, 0.5}, {1.05, 1}, {0.95, 1}, {1.43, 1.43}, {4, 4}, {0.11, 0.25}};
    }

    /** Guards against a factor that is never below 1, or that tells engines apart by noise. */
    @Test(dataProvider = "ratios")
    public void theFactorIsTheRatioUnlessTheEngineIsAlikeOrBeyondTheLimits(double ratio, double factor) {
        answer(120, ratio);
        assertEquals(relative(), factor, 0.08 * factor);
    }

    /** Guards against one moving average, which needs tens of answers to notice that an engine became slow. */
    @Test
    public void aSuddenSlowdownAppliesAfterTwoAnswersAndEndsSoonAfterIt() {
        answer(60, 1);
        answer(2, 2.5);
        assertTrue(relative() > 1.5, "factor " + relative());
        answer(8, 1);
        assertTrue(relative() < 1.25, "factor " + relative());
    }

    /** An engine that is avoided because it was slow gives no answers, and must be tried again all the same. */
    @Test
    public void withoutFurtherAnswersASuddenSlowdownEndsWithinTwoSeconds() {
        answer(60, 1);
        answer(2, 2.5);
        nowMs += 2000;
        assertTrue(relative() < 1.25, "factor " + relative());
    }

    @Test
    public void noiseAloneDoesNotTellEnginesApart() {
        SplittableRandom random = new SplittableRandom(1);
        int alike = 0;
        for (int i = 0; i < 1000; i++) {
            answer(1, 0.8 + 0.4 * random.nextDouble());
            alike += relative() == 1 ? 1 : 0;
        }
        assertTrue(alike >= 950, alike + " of 1000");
    }

    /** Guards against taking an error of the predicted wait for a change of speed. */
    @Test
    public void answersAfterALongWaitCountLess() {
        answerAfterWait(3, 900);
        double afterWait = slowdown.factor(nowMs + 60_000);
        create();
        answerAfterWait(3, 0);
        assertTrue(afterWait < slowdown.factor(nowMs + 60_000), "factor " + afterWait);
    }

    /** Guards against a service whose engines all became slower together: none of them is slow. */
    @Test
    public void theFactorIsRelativeToTheMeanOfTheService() {
        SlowdownMean both = new SlowdownMean();
        TwoScaleSlowdown one = new TwoScaleSlowdown(both);
        TwoScaleSlowdown other = new TwoScaleSlowdown(both);
        for (int i = 0; i < 100; i++) {
            nowMs += ANSWER_EVERY_MS;
            one.record(new EngineSlowdown.Sample(100, 0, 100, 200), nowMs);
            other.record(new EngineSlowdown.Sample(100, 0, 100, 200), nowMs);
        }
        assertEquals(one.factor(nowMs) / both.value(), 1, 0.001);
        other.retire();
        assertEquals(both.value(), one.factor(nowMs), 0.001);
    }

    /** Guards against a log line with each answer of an engine whose slowdown is near the limit. */
    @Test
    public void anEngineIsReportedAsSlowOnceAndAsRecoveredOnce() {
        EngineLoad load = new EngineLoad(1, new EngineSpeed(), slowdown, new PrefixCacheModel(1000));
        int changes = 0;
        for (double ratio : new double[] {1, 2.5, 1.8, 2.5, 1}) {
            for (int i = 0; i < 100; i++) {
                answer(1, ratio);
                changes += load.slowChanged() ? 1 : 0;
            }
            assertEquals(load.slow(), ratio > 1, "ratio " + ratio);
        }
        assertEquals(changes, 2);
    }
}
