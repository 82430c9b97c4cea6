package org.wingstall.standin.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wingstall.core.route.PromptBlocks;
import org.wingstall.net.http.HttpCall;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.endpoint.EndpointLoad;
import org.wingstall.schema.endpoint.StageCall;
import org.wingstall.schema.endpoint.TokenEvent;

/** A model engine: batches continuously, reads cold prompt blocks first, streams tokens, honours precedence. */
final class EngineWorker implements Worker {
    private static final JsonNode ANOTHER_PROMPT =
            Json.MAPPER.createObjectNode().put("text", "another");
    private static final int REPORT_EVERY_TOKENS = 8;

    private final EndpointOptions options;
    private final RunLog log;
    private final EventLoop loop;
    private final Supplier<EndpointFaults> faults;
    private final PriorityQueue<Sequence> waiting =
            new PriorityQueue<>(Comparator.<Sequence>comparingInt(sequence -> -sequence.stageCall.getPrecedence())
                    .thenComparingLong(sequence -> sequence.number));
    private final List<Sequence> batch = new ArrayList<>();
    private final Map<Long, Boolean> cache;
    private long arrivals;
    private int laggedInFlight;
    private boolean stepping;

    private static final class Sequence {
        private final HttpCall call;
        private final StageCall stageCall;
        private final long number;
        private double prefillLeftMs;
        private int next;
        private int sent;

        Sequence(HttpCall call, StageCall stageCall, long number) {
            this.call = call;
            this.stageCall = stageCall;
            this.number = number;
            this.next = stageCall.getResumeFrom();
        }
    }

    EngineWorker(EndpointOptions options, RunLog log, EventLoop loop, Supplier<EndpointFaults> faults) {
        this.options = options;
        this.log = log;
        this.loop = loop;
        this.faults = faults;
        this.cache = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > options.cacheBlocks();
            }
        };
    }

    @Override
    public void take(HttpCall call, StageCall stageCall) {
        waiting.add(new Sequence(call, stageCall, arrivals++));
        if (!stepping) {
            stepping = true;
            step();
        }
    }

    private void step() {
        batch.removeIf(sequence -> sequence.call.answered());
        fillBatch();
        if (batch.isEmpty()) {
            stepping = false;
            laggedInFlight = 0;
            return;
        }
        double prefillMs =
                batch.stream().mapToDouble(sequence -> sequence.prefillLeftMs).sum();
        double decodeMs = options.runMs() * (1 + options.slowDown() * (batch.size() - 1));
        batch.forEach(sequence -> sequence.prefillLeftMs = 0);
        long stepMicros = (long) ((prefillMs + decodeMs) * faults.get().slowFactor() * 1000);
        loop.schedule(this::emit, stepMicros, TimeUnit.MICROSECONDS);
    }

    private void fillBatch() {
        while (batch.size() < options.slots() && !waiting.isEmpty()) {
            Sequence sequence = waiting.poll();
            if (!sequence.call.answered()) {
                log.started(sequence.stageCall);
                sequence.prefillLeftMs = readPrompt(Outputs.text(sequence.stageCall.getInput()));
                sequence.call.beginEvents();
                batch.add(sequence);
            }
        }
    }

    private double readPrompt(String prompt) {
        int cold = 0;
        for (long digest : PromptBlocks.digests(prompt)) {
            if (cache.put(digest, Boolean.TRUE) == null) {
                cold++;
            }
        }
        return cold * options.prefillMs();
    }

    private void emit() {
        for (Sequence sequence : List.copyOf(batch)) {
            emitTo(sequence);
        }
        step();
    }

    private void emitTo(Sequence sequence) {
        EndpointFaults now = faults.get();
        if (now.dieAfterTokens() > 0 && sequence.sent >= now.dieAfterTokens()) {
            sequence.call.abort();
            return;
        }
        if (sequence.next >= sequence.stageCall.getMaxTokens()) {
            send(sequence, null, true);
            sequence.call.endEvents();
            return;
        }
        JsonNode prompt = now.wrongId() ? ANOTHER_PROMPT : sequence.stageCall.getInput();
        String token = Outputs.token(prompt, sequence.next);
        send(sequence, token, false);
        if (now.twice()) {
            send(sequence, token, false);
        }
        sequence.next++;
        sequence.sent++;
    }

    private void send(Sequence sequence, String token, boolean done) {
        EndpointFaults now = faults.get();
        if (sequence.sent % REPORT_EVERY_TOKENS == 0) {
            laggedInFlight = batch.size() + waiting.size();
        }
        boolean report = done || sequence.sent % REPORT_EVERY_TOKENS == 0;
        EndpointLoad load = report ? new EndpointLoad(laggedInFlight, now.leaving()) : null;
        StageCall call = sequence.stageCall;
        String requestId = now.wrongId() ? "another-request" : call.getRequestId();
        TokenEvent event =
                new TokenEvent(requestId, call.getStage(), call.getAttempt(), sequence.next, token, done, load);
        sequence.call.event("token", Json.write(event));
    }
}
