package org.wingstall.standin.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.wingstall.net.http.HttpCall;
import org.wingstall.schema.endpoint.EndpointLoad;
import org.wingstall.schema.endpoint.StageAnswer;
import org.wingstall.schema.endpoint.StageCall;

/** Works on calls of pools and plain services, a bounded number at once and the others in turn. */
final class CallWorker implements Worker {
    private final EndpointOptions options;
    private final RunLog log;
    private final EventLoop loop;
    private final Supplier<EndpointFaults> faults;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private int running;
    private StageAnswer previous;

    private record Job(HttpCall call, StageCall stageCall) {}

    CallWorker(EndpointOptions options, RunLog log, EventLoop loop, Supplier<EndpointFaults> faults) {
        this.options = options;
        this.log = log;
        this.loop = loop;
        this.faults = faults;
    }

    @Override
    public void take(HttpCall call, StageCall stageCall) {
        if (options.compute()) {
            answer(new Job(call, stageCall), log.started(stageCall));
            return;
        }
        waiting.add(new Job(call, stageCall));
        startNext();
    }

    private void startNext() {
        while (running < options.slots() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (!job.call().answered()) {
                run(job);
            }
        }
    }

    private void run(Job job) {
        running++;
        long number = log.started(job.stageCall());
        double random = 1 + options.jitter() * (ThreadLocalRandom.current().nextDouble() * 2 - 1);
        double ms = options.runMs()
                * (1 + options.slowDown() * (running - 1))
                * faults.get().slowFactor()
                * random;
        loop.schedule(
                () -> {
                    running--;
                    answer(job, number);
                    startNext();
                },
                (long) (ms * 1000),
                TimeUnit.MICROSECONDS);
    }

    private void answer(Job job, long number) {
        StageCall stageCall = job.stageCall();
        EndpointFaults now = faults.get();
        JsonNode output = options.kind().equals("plain")
                ? Outputs.plain(options.service(), stageCall.getInput(), options.name() + "#" + number)
                : Outputs.pool(options.service(), stageCall.getInput());
        EndpointLoad load = new EndpointLoad(running + waiting.size(), now.leaving());
        StageAnswer answer =
                new StageAnswer(stageCall.getRequestId(), stageCall.getStage(), stageCall.getAttempt(), output, load);
        boolean foreign = now.wrongId() && previous != null;
        job.call().respondJson(200, foreign ? previous : answer);
        previous = answer;
    }
}
