package org.wingstall.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.retry.RetryRules.AttemptEnd;
import org.wingstall.core.retry.RetryRules.Decision;

public class RetryRulesTest {
    @DataProvider
    Object[][] ends() {
        return new Object[][] {
            {AttemptEnd.NOT_SENT, false, Decision.RETRY}, {AttemptEnd.REFUSED_UNRUN, false, Decision.RETRY},
            {AttemptEnd.FAILED, false, Decision.FAILED}, {AttemptEnd.LOST, false, Decision.UNKNOWN},
            {AttemptEnd.TIMED_OUT, false, Decision.UNKNOWN}, {AttemptEnd.MISMATCHED, false, Decision.UNKNOWN},
            {AttemptEnd.LOST, true, Decision.RETRY}, {AttemptEnd.FAILED, true, Decision.RETRY},
            {AttemptEnd.TIMED_OUT, true, Decision.RETRY}, {AttemptEnd.MISMATCHED, true, Decision.RETRY},
        };
    }

    @Test(dataProvider = "ends")
    public void onlyWhatCertainlyDidNotRunOrMayRepeatIsRetried(AttemptEnd end, boolean repeatable, Decision expected) {
        assertEquals(RetryRules.decide(end, repeatable, 1, new RetryBudget(20)), expected);
        Decision last = RetryRules.decide(end, repeatable, RetryRules.MOST_ATTEMPTS, new RetryBudget(20));
        assertEquals(last, expected == Decision.RETRY ? Decision.EXHAUSTED : expected);
    }

    @Test
    public void retriesAreAShareOfCalls() {
        RetryBudget budget = new RetryBudget(10);
        while (budget.tryRetry()) {
            // Uses up what a fresh budget allows.
        }
        for (int i = 0; i < 10; i++) {
            budget.called();
        }
        assertTrue(budget.tryRetry());
        assertFalse(budget.tryRetry());
    }
}
