package org.wingstall.gateway.run;

import org.wingstall.core.queue.Waiter;
import org.wingstall.core.route.EndpointState;

/** A stage that asks for a slot; its answers may come on any thread. */
interface StageWaiter extends Waiter {
    /** Takes the slot; the stage gives it back. */
    void granted(EndpointState endpoint);

    /** There is no endpoint that the stage may go to. */
    void noEndpoint();

    /** Returns whether the stage may not go to an endpoint. */
    boolean excludes(EndpointState endpoint);

    /** Returns the expected time of the stage, in ms. */
    double expectedMs();

    /** Returns digests of the prompt's blocks. */
    long[] prefixDigests();
}
