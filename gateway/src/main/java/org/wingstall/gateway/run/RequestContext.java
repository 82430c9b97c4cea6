package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import org.wingstall.schema.table.PipelineRow;
import org.wingstall.schema.table.WorkspaceRow;

/**
 * What a request is, from its arrival on; immutable.
 *
 * @param requestId identifier of the request
 * @param pipeline its pipeline, as configured at its arrival
 * @param workspace its workspace, as configured at its arrival
 * @param input the caller's input
 * @param idempotencyKey its key, or null
 * @param fingerprint digest of its body
 * @param arrivedMs when it arrived, in ms of the monotonic clock
 * @param deadlineMs when its answer must have landed, in ms of the monotonic clock
 * @param loop event loop that it runs on
 * @since 0.1
 */
public record RequestContext(
        String requestId,
        PipelineRow pipeline,
        WorkspaceRow workspace,
        JsonNode input,
        String idempotencyKey,
        String fingerprint,
        long arrivedMs,
        long deadlineMs,
        EventLoop loop) {
    /** Returns whether some stage may run only once. */
    boolean needsClaim() {
        return pipeline.getStages().stream().anyMatch(stage -> !stage.isRepeatable());
    }
}
