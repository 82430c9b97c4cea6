package org.wingstall.relay.endpoint;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.PeriodicTask;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.endpoint.StateQueries.Purpose;

/**
 * Detects unresponsive endpoints of a failure domain together, and when they respond again. It protects against a
 * failure domain that is cut off while calls are running: each call into it occupies a slot and its pieces until it is
 * lost, and without this class each endpoint would be detected by lost calls of its own, again after every backoff.
 *
 * <p>When one endpoint becomes unresponsive, the others of its failure domain are queried for their state; those that
 * don't respond are avoided at once and their work is moved elsewhere. An unresponsive endpoint gets no work until it
 * responds to such a query, so no request is risked as a probe. Confined to the request loop.
 *
 * <p>{@code new SilenceWatch(loop, clock, endpoints, queries, answersQueries, paths::check, pools::abandon, silentDomains).start();}
 *
 * @since 0.5
 */
public final class SilenceWatch {
    private static final Logger LOG = LogManager.getLogger(SilenceWatch.class);

    /**
     * Delay before an unresponsive endpoint is queried for the first time, in ms; it doubles with each further query.
     */
    private static final long FIRST_DELAY_MS = 150;

    /**
     * Longest delay between two queries, in ms, so that an endpoint that responds again is not left unused for longer.
     */
    private static final long MAX_DELAY_MS = 600;

    /**
     * Minimum interval between two rounds of queries to a failure domain, in ms; one round detects all its unresponsive
     * endpoints.
     */
    private static final long DOMAIN_INTERVAL_MS = 400;

    /**
     * Minimum interval between two queries to a suspect endpoint, in ms: many of its requests may be overdue at the
     * same time.
     */
    private static final long SUSPECT_INTERVAL_MS = 400;

    /**
     * Interval between two checks for failure domains without heartbeats, in ms; half of the interval between
     * heartbeats.
     */
    private static final long DOMAIN_CHECK_MS = 100;

    /**
     * Minimum number of unresponsive endpoints for a failure domain to count as cut off when none of its queried
     * endpoints responds.
     */
    private static final int MIN_SILENT = 2;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RelayEndpoints endpoints;
    private final StateQueries queries;
    private final Predicate<String> answersQueries;
    private final Consumer<RelayEndpoint> pathCheck;
    private final Consumer<RelayEndpoint> abandon;
    private final Supplier<Set<String>> silentDomains;
    private Set<String> lastSilentDomains = Set.of();
    private final Set<String> polled = new HashSet<>();
    private final Set<String> cutOff = new HashSet<>();
    private final Map<String, Long> domainQueriedAtMs = new HashMap<>();
    private final Map<String, Long> suspectCheckedAtMs = new HashMap<>();

    /** One round of queries to the endpoints of a failure domain. */
    private static final class DomainQueries {
        private int pending;
        private int silent;
        private int answered;
    }

    /**
     * Creates a watch, which does nothing until it is started.
     *
     * @param loop the request loop
     * @param clock monotonic clock
     * @param endpoints endpoints of all services
     * @param queries queries endpoints for their state
     * @param answersQueries whether endpoints of a service respond to state queries
     * @param pathCheck takes an endpoint that did not respond, to find out whether only the path to it is lost
     * @param abandon takes an endpoint whose work is to be moved elsewhere
     * @param silentDomains returns the failure domains from which no heartbeats of boxes arrive any more
     */
    public SilenceWatch(
            EventLoop loop,
            MonotonicClock clock,
            RelayEndpoints endpoints,
            StateQueries queries,
            Predicate<String> answersQueries,
            Consumer<RelayEndpoint> pathCheck,
            Consumer<RelayEndpoint> abandon,
            Supplier<Set<String>> silentDomains) {
        this.silentDomains = silentDomains;
        this.loop = loop;
        this.clock = clock;
        this.endpoints = endpoints;
        this.queries = queries;
        this.answersQueries = answersQueries;
        this.pathCheck = pathCheck;
        this.abandon = abandon;
    }

    /** Starts to listen for unresponsive endpoints and to check for silent failure domains. */
    public void start() {
        endpoints.setListener(new RelayEndpoint.Listener() {
            @Override
            public void unresponsive(RelayEndpoint endpoint) {
                onSilent(endpoint);
            }

            @Override
            public void connectionLost(RelayEndpoint endpoint) {
                onConnectionLost(endpoint);
            }
        });
        PeriodicTask.startAligned(loop, "silent-domains", DOMAIN_CHECK_MS, this::checkDomains);
    }

    /**
     * Queries the endpoints of failure domains from which no heartbeats of boxes arrive any more, since they are likely
     * unreachable as well.
     */
    private void checkDomains() {
        Set<String> now = Set.copyOf(silentDomains.get());
        now.stream().filter(domain -> !lastSilentDomains.contains(domain)).forEach(this::queryDomain);
        lastSilentDomains = now;
    }

    private void onSilent(RelayEndpoint endpoint) {
        pathCheck.accept(endpoint);
        if (canQuery(endpoint)) {
            abandon.accept(endpoint);
            if (polled.add(endpoint.key())) {
                scheduleQuery(endpoint, FIRST_DELAY_MS);
            }
        }
        queryDomain(endpoint.identity().failureDomain());
    }

    /**
     * Queries an endpoint whose response is overdue, here or at another box. One that doesn't respond gets no work
     * until it does; without this, an engine that accepted requests and sent nothing got more of them for the 2 s until
     * their connections broke.
     *
     * @param endpoint the endpoint
     * @param onNoAnswer called when it doesn't respond
     */
    public void checkSuspect(RelayEndpoint endpoint, Runnable onNoAnswer) {
        if (endpoint.usable() && beginSuspectCheck(endpoint)) {
            queries.query(endpoint, Purpose.OVERDUE_ANSWER, report -> {}, () -> {
                endpoint.recordNoAnswer("a response is overdue and it doesn't respond to a state query");
                onNoAnswer.run();
            });
        }
    }

    /** Queries an endpoint whose connection ended under a request, so that it gets work again at once if it is alive. */
    private void onConnectionLost(RelayEndpoint endpoint) {
        if (beginSuspectCheck(endpoint)) {
            queries.query(
                    endpoint,
                    Purpose.LOST_CONNECTION,
                    report -> endpoint.recordAlive(),
                    () -> endpoint.recordNoAnswer("a connection ended and it doesn't respond to a state query"));
        }
    }

    /** Returns whether a suspect endpoint is to be queried now; one that was queried a moment ago is not. */
    private boolean beginSuspectCheck(RelayEndpoint endpoint) {
        long nowMs = clock.nowMs();
        suspectCheckedAtMs.values().removeIf(atMs -> nowMs - atMs >= SUSPECT_INTERVAL_MS);
        return canQuery(endpoint) && suspectCheckedAtMs.putIfAbsent(endpoint.key(), nowMs) == null;
    }

    private boolean canQuery(RelayEndpoint endpoint) {
        return answersQueries.test(endpoint.identity().service());
    }

    private void scheduleQuery(RelayEndpoint endpoint, long delayMs) {
        loop.schedule(() -> queryAgain(endpoint, delayMs), delayMs, TimeUnit.MILLISECONDS);
    }

    private void queryAgain(RelayEndpoint endpoint, long delayMs) {
        boolean listed = endpoints.find(endpoint.id()).orElse(null) == endpoint;
        if (!listed) {
            polled.remove(endpoint.key());
            cutOff.remove(endpoint.identity().failureDomain());
            return;
        }
        boolean queried = queries.query(endpoint, Purpose.SILENT_ENDPOINT, report -> markReachable(endpoint), () -> {
            recordUnreachable(endpoint);
            scheduleQuery(endpoint, Math.min(MAX_DELAY_MS, 2 * delayMs));
        });
        if (!queried) {
            polled.remove(endpoint.key());
        }
    }

    private void recordUnreachable(RelayEndpoint endpoint) {
        endpoint.recordUnreachable();
        String domain = endpoint.identity().failureDomain();
        if (cutOff.contains(domain)) {
            notQueryable(domain).forEach(RelayEndpoint::recordUnreachable);
        }
    }

    private Stream<RelayEndpoint> notQueryable(String failureDomain) {
        return endpoints.all().stream()
                .filter(endpoint -> endpoint.identity().failureDomain().equals(failureDomain) && !canQuery(endpoint));
    }

    private void markReachable(RelayEndpoint endpoint) {
        polled.remove(endpoint.key());
        endpoint.markReachable();
        String domain = endpoint.identity().failureDomain();
        if (cutOff.remove(domain)) {
            notQueryable(domain).forEach(RelayEndpoint::markReachable);
        }
        LogEvent.info("endpoint-answers-again").with("endpoint", endpoint.id()).to(LOG);
    }

    private void queryDomain(String failureDomain) {
        long nowMs = clock.nowMs();
        if (nowMs - domainQueriedAtMs.getOrDefault(failureDomain, Long.MIN_VALUE / 2) < DOMAIN_INTERVAL_MS) {
            return;
        }
        domainQueriedAtMs.put(failureDomain, nowMs);
        List<RelayEndpoint> others = endpoints.all().stream()
                .filter(endpoint -> endpoint.identity().failureDomain().equals(failureDomain))
                .filter(endpoint -> endpoint.usable() && canQuery(endpoint))
                .toList();
        DomainQueries round = new DomainQueries();
        round.pending = others.size();
        for (RelayEndpoint other : others) {
            boolean queried = queries.query(
                    other,
                    Purpose.SILENT_DOMAIN,
                    report -> {
                        round.answered++;
                        completed(failureDomain, round);
                    },
                    () -> {
                        other.recordNoAnswer("unresponsive like another endpoint of its failure domain");
                        round.silent++;
                        completed(failureDomain, round);
                    });
            if (!queried) {
                completed(failureDomain, round);
            }
        }
    }

    /**
     * Records the end of one query. When none of the queried endpoints of a failure domain responds, those that can't
     * be queried are avoided as well until one responds.
     */
    private void completed(String failureDomain, DomainQueries round) {
        round.pending--;
        boolean allSilent = round.pending == 0 && round.answered == 0 && round.silent >= MIN_SILENT;
        if (allSilent && cutOff.add(failureDomain)) {
            LogEvent.warn("failure-domain-silent")
                    .with("domain", failureDomain)
                    .with("silent", round.silent)
                    .to(LOG);
            notQueryable(failureDomain)
                    .forEach(
                            endpoint -> endpoint.recordNoAnswer("no queried endpoint of its failure domain responded"));
        }
    }
}
