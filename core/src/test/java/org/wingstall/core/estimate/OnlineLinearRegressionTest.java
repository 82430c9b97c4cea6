package org.wingstall.core.estimate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The regression starts from its prior and converges to the observations. */
public class OnlineLinearRegressionTest {
    @Test
    public void predictsPriorBeforeFirstObservation() {
        OnlineLinearRegression regression = new OnlineLinearRegression(60, 0.02, 4000);
        assertEquals(regression.predict(0), 60, 0.001);
        assertEquals(regression.predict(2000), 100, 0.001);
    }

    @DataProvider
    public Object[][] engines() {
        return new Object[][] {{20.0, 1 / 61.2}, {20.0, 1 / 38.4}, {150.0, 0.1}, {5.0, 0.0}};
    }

    @Test(dataProvider = "engines")
    public void convergesToInterceptAndSlope(double intercept, double slope) {
        OnlineLinearRegression regression = new OnlineLinearRegression(60, 0.02, 4000);
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 300; i++) {
            double size = random.nextDouble(100, 9000);
            regression.observe(size, (intercept + slope * size) * random.nextDouble(0.8, 1.2));
        }
        double expected = intercept + slope * 3000;
        assertEquals(regression.predict(3000), expected, Math.max(3, 0.1 * expected));
    }

    @Test
    public void outlierChangesPredictionByLessThanTenPercent() {
        OnlineLinearRegression regression = new OnlineLinearRegression(60, 0.02, 4000);
        for (int i = 0; i < 100; i++) {
            regression.observe(i * 50, 60 + i);
        }
        double before = regression.predict(2500);
        regression.observe(2500, 30_000);
        assertTrue(regression.predict(2500) < 1.1 * before, before + " then " + regression.predict(2500));
    }

    @Test
    public void convergesWhenAllSizesAreEqual() {
        OnlineLinearRegression regression = new OnlineLinearRegression(60, 0.02, 4000);
        for (int i = 0; i < 500; i++) {
            regression.observe(1000, 200);
        }
        assertEquals(regression.predict(1000), 200, 5);
    }
}
