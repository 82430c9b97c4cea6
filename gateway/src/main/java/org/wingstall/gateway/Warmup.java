package org.wingstall.gateway;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.caller.CallerRequest;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.endpoint.StageAnswer;
import org.wingstall.schema.endpoint.StageCall;
import org.wingstall.schema.endpoint.TokenEvent;

/**
 * Loads and runs the classes of the request path before callers come, so that a box's first requests are not its slowest.
 *
 * <p>{@code Warmup.run();}
 *
 * @since 0.1
 */
final class Warmup {
    private static final Logger LOG = LogManager.getLogger(Warmup.class);
    private static final int ROUNDS = 200;
    private static final byte[] REQUEST = ascii("{\"workspace\":\"w\",\"input\":{\"text\":\"t\"},\"deadlineMs\":1000}");
    private static final byte[] CALL = ascii(
            "{\"requestId\":\"r\",\"stage\":\"s\",\"attempt\":1,\"workspace\":\"w\",\"precedence\":1,\"input\":{}}");
    private static final byte[] ANSWER =
            ascii("{\"requestId\":\"r\",\"stage\":\"s\",\"attempt\":1,\"output\":{},\"load\":{\"inFlight\":1}}");
    private static final byte[] EVENT =
            ascii("{\"requestId\":\"r\",\"stage\":\"s\",\"attempt\":1,\"index\":0,\"token\":\"t\",\"done\":false}");
    private static final byte[] OUTCOME =
            ascii("{\"requestId\":\"r\",\"outcome\":\"complete\",\"retryAfterMs\":0,\"stages\":[]}");

    private Warmup() {}

    private static byte[] ascii(String text) {
        return text.getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    }

    static void run() {
        long beganNs = System.nanoTime();
        try {
            for (int i = 0; i < ROUNDS; i++) {
                SchemaCheck.of(CallerRequest.class).read(Json.readTree(REQUEST));
                Json.write(Json.read(CALL, StageCall.class));
                Json.write(Json.read(ANSWER, StageAnswer.class));
                Json.write(Json.read(EVENT, TokenEvent.class));
                Json.write(Json.read(OUTCOME, Answer.class));
            }
        } catch (InvalidDocumentException e) {
            LogEvent.warn("warmup-failed").cause(e).to(LOG);
        }
        LogEvent.info("warmed-up")
                .with("tookMs", (System.nanoTime() - beganNs) / 1_000_000)
                .to(LOG);
    }
}
