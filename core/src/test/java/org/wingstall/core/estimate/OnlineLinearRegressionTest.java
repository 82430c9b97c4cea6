package org.wingstall.core.estimate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A trend starts from what is assumed and comes to go by what is seen. */
public class OnlineLinearRegressionTest {
    @Test
    public void theAssumptionHoldsUntilSomethingIsSeen() {
        OnlineLinearRegression trend = new OnlineLinearRegression(60, 0.02, 4000);
        assertEquals(trend.predict(0), 60, 0.001);
        assertEquals(trend.predict(2000), 100, 0.001);
    }

    @DataProvider
    public Object[][] engines() {
        return new Object[][] {{20.0, 1 / 61.2}, {20.0, 1 / 38.4}, {150.0, 0.1}, {5.0, 0.0}};
    }

    @Test(dataProvider = "engines")
    public void aHundredAnswersTeachBaseAndSlope(double base, double slope) {
        OnlineLinearRegression trend = new OnlineLinearRegression(60, 0.02, 4000);
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 300; i++) {
            double size = random.nextDouble(100, 9000);
            trend.observe(size, (base + slope * size) * random.nextDouble(0.8, 1.2));
        }
        double expected = base + slope * 3000;
        assertEquals(trend.predict(3000), expected, Math.max(3, 0.1 * expected));
    }

    @Test
    public void oneStallMovesTheTrendByLessThanATenth() {
        OnlineLinearRegression trend = new OnlineLinearRegression(60, 0.02, 4000);
        for (int i = 0; i < 100; i++) {
            trend.observe(i * 50, 60 + i);
        }
        double before = trend.predict(2500);
        trend.observe(2500, 30_000);
        assertTrue(trend.predict(2500) < 1.1 * before, before + " then " + trend.predict(2500));
    }

    @Test
    public void sizesThatAreAllTheSameTeachTheValueThere() {
        OnlineLinearRegression trend = new OnlineLinearRegression(60, 0.02, 4000);
        for (int i = 0; i < 500; i++) {
            trend.observe(1000, 200);
        }
        assertEquals(trend.predict(1000), 200, 5);
    }
}
