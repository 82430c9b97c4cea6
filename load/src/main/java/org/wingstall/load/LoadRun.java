package org.wingstall.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.load.FaultEvent;
import org.wingstall.schema.load.LoadReport;
import org.wingstall.schema.load.Scenario;

/** Puts a scenario on the gateways of one policy; arrivals come when planned, whatever the answers do. */
final class LoadRun {
    private static final int THREADS = 2;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final long LAST_ANSWERS_MS = 30_000;

    private final Scenario scenario;
    private final Target target;
    private final Map<String, InetSocketAddress> endpoints;
    private final long seed;
    private final Tally tally;
    private final HttpClient client = new HttpClient();

    LoadRun(Scenario scenario, Target target, Map<String, InetSocketAddress> endpoints, long seed) {
        this.scenario = scenario;
        this.target = target;
        this.endpoints = endpoints;
        this.seed = seed;
        this.tally = new Tally(scenario);
    }

    LoadReport run() throws InterruptedException {
        EventLoopGroup group = EventLoops.group("load", THREADS);
        List<ArrivalPlan.Arrival> plan =
                ArrivalPlan.of(scenario, target.gateways().size(), seed);
        CountDownLatch open = new CountDownLatch(plan.size());
        long beganNs = System.nanoTime();
        scheduleEvents(group.next());
        for (ArrivalPlan.Arrival arrival : plan) {
            long plannedNs = beganNs + TimeUnit.MILLISECONDS.toNanos(arrival.atMs());
            parkUntil(plannedNs);
            EventLoop loop = group.next();
            Request request = new Request(arrival, plannedNs, loop, open);
            loop.execute(request::send);
        }
        open.await(LAST_ANSWERS_MS, TimeUnit.MILLISECONDS);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        return tally.report(target.policy(), seed);
    }

    private static void parkUntil(long ns) {
        long leftNs = ns - System.nanoTime();
        while (leftNs > 0) {
            LockSupport.parkNanos(leftNs);
            leftNs = ns - System.nanoTime();
        }
    }

    private void scheduleEvents(EventLoop loop) {
        for (FaultEvent event : scenario.getEvents()) {
            InetSocketAddress endpoint = endpoints.get(event.getEndpoint());
            if (endpoint != null) {
                byte[] body = Json.write(event.getFaults());
                loop.schedule(
                        () -> client.call(loop, OutgoingRequest.post(endpoint, "/admin/faults", body), 2000),
                        event.getAtMs(),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** One arrival, which comes back when it is refused and told when to. */
    private final class Request implements CallerExchange.Done {
        private final ArrivalPlan.Arrival arrival;
        private final long plannedNs;
        private final EventLoop loop;
        private final CountDownLatch open;
        private int returns;

        Request(ArrivalPlan.Arrival arrival, long plannedNs, EventLoop loop, CountDownLatch open) {
            this.arrival = arrival;
            this.plannedNs = plannedNs;
            this.loop = loop;
            this.open = open;
        }

        void send() {
            ObjectNode body = Json.MAPPER.createObjectNode();
            body.put("workspace", arrival.stream().getWorkspace());
            body.put("deadlineMs", Math.max(1, leftMs()));
            body.putObject("input").put("text", arrival.prompt());
            if (arrival.stream().isKeyed()) {
                body.put("idempotencyKey", target.policy() + "-" + seed + "-" + arrival.number() + "-" + plannedNs);
            }
            String accept = arrival.stream().isStreamed() ? HttpCall.EVENT_STREAM : HttpCall.JSON;
            int gateway = (arrival.gateway() + returns) % target.gateways().size();
            String path = "/v1/pipelines/" + arrival.stream().getPipeline() + "/requests";
            OutgoingRequest request = OutgoingRequest.post(target.gateways().get(gateway), path, Json.write(body))
                    .with("accept", accept);
            client.send(loop, request, CONNECT_TIMEOUT_MS, new CallerExchange(plannedNs, this));
        }

        /** Returns the time left of the caller's patience, in ms; one that comes back says how much it still has. */
        private long leftMs() {
            return arrival.stream().getDeadlineMs() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - plannedNs);
        }

        @Override
        public void answered(CallerExchange exchange) {
            boolean comesBack = returns < arrival.stream().getObeyRetryAfter()
                    && exchange.retryAfterMs() > 0
                    && exchange.retryAfterMs() < leftMs();
            if (comesBack) {
                returns++;
                loop.schedule(this::send, exchange.retryAfterMs(), TimeUnit.MILLISECONDS);
                return;
            }
            if (arrival.atMs() >= scenario.getWarmupMs()) {
                tally.add(arrival.stream(), exchange);
            }
            open.countDown();
        }
    }
}
