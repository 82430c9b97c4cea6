package org.wingstall.gateway.run;

import org.wingstall.core.route.EndpointState;

/** A stage of one workspace that may go anywhere; what it does with a slot is the test's to say. */
abstract class TestWaiter implements StageWaiter {
    private final int precedence;

    TestWaiter(int precedence) {
        this.precedence = precedence;
    }

    @Override
    public boolean excludes(EndpointState candidate) {
        return false;
    }

    @Override
    public double expectedMs() {
        return 10;
    }

    @Override
    public long[] prefixDigests() {
        return new long[0];
    }

    @Override
    public int precedence() {
        return precedence;
    }

    @Override
    public String workspace() {
        return "w";
    }

    @Override
    public double weight() {
        return 1;
    }

    @Override
    public long deadlineMs() {
        return 1000;
    }
}
