package org.wingstall.load;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wingstall.net.http.BodyEnd;
import org.wingstall.net.http.EventReader;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.ResponseListener;
import org.wingstall.net.http.TransportException;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;

/** What a caller sees of one request: times of tokens, and the answer. */
final class CallerExchange implements ResponseListener {
    private final long plannedNs;
    private final Done done;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final List<Long> eventNs = new ArrayList<>();
    private final EventReader events = new EventReader(this::event);
    private byte[] lastEvent = {};
    private boolean streamed;
    private Answer answer;
    private long tookNs;

    /** Told once of the end. */
    interface Done {
        void answered(CallerExchange exchange);
    }

    CallerExchange(long plannedNs, Done done) {
        this.plannedNs = plannedNs;
        this.done = done;
    }

    /** Returns the answer, unless the connection broke. */
    Optional<Answer> answer() {
        return Optional.ofNullable(answer);
    }

    long retryAfterMs() {
        return answer == null ? 0 : answer.getRetryAfterMs();
    }

    double tookMs() {
        return ms(tookNs);
    }

    /** Returns the time from the planned arrival to the first token, in ms; 0 without tokens. */
    double firstTokenMs() {
        return eventNs.size() < 2 ? 0 : ms(eventNs.get(0) - plannedNs);
    }

    /** Returns the times between tokens, in ms. */
    List<Double> betweenTokensMs() {
        List<Double> gaps = new ArrayList<>();
        for (int i = 1; i < eventNs.size() - 1; i++) {
            gaps.add(ms(eventNs.get(i) - eventNs.get(i - 1)));
        }
        return gaps;
    }

    private static double ms(long ns) {
        return ns / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    @Override
    public void head(int status, HttpHeaders headers) {
        streamed = HttpCall.EVENT_STREAM.equals(headers.get("content-type"));
    }

    @Override
    public void content(ByteBuf part) {
        if (streamed) {
            events.read(part);
            return;
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        body.writeBytes(bytes);
    }

    private void event(byte[] data) {
        eventNs.add(System.nanoTime());
        lastEvent = data;
    }

    @Override
    public void complete(BodyEnd end) {
        try {
            answer = Json.read(streamed ? lastEvent : body.toByteArray(), Answer.class);
        } catch (InvalidDocumentException e) {
            answer = null;
        }
        end();
    }

    @Override
    public void failed(TransportException failure) {
        end();
    }

    private void end() {
        tookNs = System.nanoTime() - plannedNs;
        done.answered(this);
    }
}
