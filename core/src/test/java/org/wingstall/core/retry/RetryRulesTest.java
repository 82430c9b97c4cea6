package org.wingstall.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.retry.RetryRules.AttemptOutcome;
import org.wingstall.core.retry.RetryRules.Decision;

public class RetryRulesTest {
    @DataProvider
    Object[][] outcomes() {
        return new Object[][] {
            {AttemptOutcome.NOT_SENT, false, Decision.RETRY}, {AttemptOutcome.REFUSED_UNRUN, false, Decision.RETRY},
            {AttemptOutcome.FAILED, false, Decision.FAILED}, {AttemptOutcome.LOST, false, Decision.UNKNOWN},
            {AttemptOutcome.TIMED_OUT, false, Decision.UNKNOWN}, {AttemptOutcome.MISMATCHED, false, Decision.UNKNOWN},
            {AttemptOutcome.LOST, true, Decision.RETRY}, {AttemptOutcome.FAILED, true, Decision.RETRY},
            {AttemptOutcome.TIMED_OUT, true, Decision.RETRY}, {AttemptOutcome.MISMATCHED, true, Decision.RETRY},
        };
    }

    @Test(dataProvider = "outcomes")
    public void onlyCallsThatDidNotRunOrAreRepeatableAreRetried(
            AttemptOutcome outcome, boolean repeatable, Decision expected) {
        assertEquals(RetryRules.decide(outcome, repeatable, 1, new RetryBudget(20)), expected);
        Decision last = RetryRules.decide(outcome, repeatable, RetryRules.MAX_ATTEMPTS, new RetryBudget(20));
        assertEquals(last, expected == Decision.RETRY ? Decision.EXHAUSTED : expected);
    }

    @Test
    public void retriesAreLimitedToAPercentageOfCalls() {
        RetryBudget budget = new RetryBudget(10);
        while (budget.tryRetry()) {
            // Uses up the initial budget.
        }
        for (int i = 0; i < 10; i++) {
            budget.recordCall();
        }
        assertTrue(budget.tryRetry());
        assertFalse(budget.tryRetry());
    }
}
