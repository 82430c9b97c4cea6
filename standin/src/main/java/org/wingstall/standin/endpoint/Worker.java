package org.wingstall.standin.endpoint;

import org.wingstall.net.http.HttpCall;
import org.wingstall.schema.endpoint.StageCall;

/** Does the work of one kind of endpoint. */
interface Worker {
    /** Takes a call; answers it in its own time. */
    void take(HttpCall call, StageCall stageCall);
}
