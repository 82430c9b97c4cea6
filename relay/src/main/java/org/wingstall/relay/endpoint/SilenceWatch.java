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
 * Finds out silent endpoints together, and when they answer again. The load that it answers is a failure domain that is cut
 * off under way: each call into it holds a slot and its pieces until it is lost, and each endpoint was found out by calls of
 * its own, again after every pause.
 *
 * <p>When one endpoint falls silent, the others of its failure domain are asked for their state; those that don't answer are
 * avoided at once and the work they hold is done elsewhere. An endpoint that fell silent gets no work until it answers such a
 * question, so no request is spent on a trial. Confined to the request loop.
 *
 * <p>{@code new SilenceWatch(loop, clock, endpoints, reports, answersReports, pools::abandon, silentDomains).start();}
 *
 * @since 0.5
 */
public final class SilenceWatch {
    private static final Logger LOG = LogManager.getLogger(SilenceWatch.class);

    /** Pause before a silent endpoint is asked for the first time, in ms; it doubles with each further question. */
    private static final long FIRST_MS = 150;

    /** Longest pause between two questions, in ms: an endpoint that is back is missed for no longer. */
    private static final long MOST_MS = 600;

    /** Time within which a failure domain is asked once, in ms; its endpoints are found out by the first time. */
    private static final long DOMAIN_AGAIN_MS = 400;

    /** Time within which an endpoint that is slow is asked once, in ms: it may be slow with many requests at once. */
    private static final long DOUBT_AGAIN_MS = 400;

    /** Pause between two looks at which boxes are heard, in ms; half of the pause between their heartbeats. */
    private static final long BOXES_CHECK_MS = 100;

    /** Silent endpoints from which a failure domain whose asked endpoints are all silent counts as cut off. */
    private static final int CUT_OFF_FROM = 2;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RelayEndpoints endpoints;
    private final StateQueries reports;
    private final Predicate<String> answersReports;
    private final Consumer<RelayEndpoint> abandon;
    private final Supplier<Set<String>> silentDomains;
    private Set<String> silentBoxes = Set.of();
    private final Set<String> followed = new HashSet<>();
    private final Set<String> cutOff = new HashSet<>();
    private final Map<String, Long> domainAskedAtMs = new HashMap<>();
    private final Map<String, Long> doubtedAtMs = new HashMap<>();

    /** The questions to one failure domain. */
    private static final class DomainQuestions {
        private int open;
        private int silent;
        private int answered;
    }

    /**
     * Creates a watch.
     *
     * @param loop the request loop
     * @param clock monotonic clock
     * @param endpoints endpoints of all services
     * @param reports asks endpoints for their state
     * @param answersReports whether endpoints of a service answer such questions
     * @param abandon takes an endpoint whose work is to be done elsewhere
     * @param silentDomains returns failure domains of which no box is heard any more
     */
    public SilenceWatch(
            EventLoop loop,
            MonotonicClock clock,
            RelayEndpoints endpoints,
            StateQueries reports,
            Predicate<String> answersReports,
            Consumer<RelayEndpoint> abandon,
            Supplier<Set<String>> silentDomains) {
        this.silentDomains = silentDomains;
        this.loop = loop;
        this.clock = clock;
        this.endpoints = endpoints;
        this.reports = reports;
        this.answersReports = answersReports;
        this.abandon = abandon;
    }

    /** Begins to hear of silent endpoints and boxes. */
    public void start() {
        endpoints.setSilenceListener(this::silent);
        PeriodicTask.start(loop, "silent-domains", () -> BOXES_CHECK_MS, this::lookAtBoxes);
    }

    /** Endpoints of a failure domain none of whose boxes is heard any more are likely as silent to this box. */
    private void lookAtBoxes() {
        Set<String> now = Set.copyOf(silentDomains.get());
        now.stream().filter(domain -> !silentBoxes.contains(domain)).forEach(this::askDomain);
        silentBoxes = now;
    }

    private void silent(RelayEndpoint endpoint) {
        if (asks(endpoint)) {
            abandon.accept(endpoint);
            if (followed.add(endpoint.key())) {
                follow(endpoint, FIRST_MS);
            }
        }
        askDomain(endpoint.identity().failureDomain());
    }

    /**
     * Has an endpoint asked for its state because an answer of it is overdue, here or at another box. One that doesn't tell it
     * gets no work until it does; without this an engine that takes requests and says nothing was given more of them for the
     * 2 s until their connections broke.
     *
     * @param endpoint the endpoint
     * @param silent what to do when it doesn't answer
     */
    public void checkSuspect(RelayEndpoint endpoint, Runnable silent) {
        long nowMs = clock.nowMs();
        doubtedAtMs.values().removeIf(atMs -> nowMs - atMs >= DOUBT_AGAIN_MS);
        if (doubtedAtMs.containsKey(endpoint.key()) || !endpoint.usable() || !asks(endpoint)) {
            return;
        }
        doubtedAtMs.put(endpoint.key(), nowMs);
        reports.query(endpoint, Purpose.OVERDUE_ANSWER, report -> {}, () -> {
            endpoint.recordNoAnswer("an answer is overdue and it doesn't tell its state");
            silent.run();
        });
    }

    private boolean asks(RelayEndpoint endpoint) {
        return answersReports.test(endpoint.identity().service());
    }

    private void follow(RelayEndpoint endpoint, long delayMs) {
        loop.schedule(() -> askAgain(endpoint, delayMs), delayMs, TimeUnit.MILLISECONDS);
    }

    private void askAgain(RelayEndpoint endpoint, long delayMs) {
        boolean listed = endpoints.find(endpoint.id()).orElse(null) == endpoint;
        if (!listed) {
            followed.remove(endpoint.key());
            cutOff.remove(endpoint.identity().failureDomain());
            return;
        }
        boolean asked = reports.query(endpoint, Purpose.SILENT_ENDPOINT, report -> markReachable(endpoint), () -> {
            recordUnreachable(endpoint);
            follow(endpoint, Math.min(MOST_MS, 2 * delayMs));
        });
        if (!asked) {
            followed.remove(endpoint.key());
        }
    }

    private void recordUnreachable(RelayEndpoint endpoint) {
        endpoint.recordUnreachable();
        String domain = endpoint.identity().failureDomain();
        if (cutOff.contains(domain)) {
            notAsked(domain).forEach(RelayEndpoint::recordUnreachable);
        }
    }

    private Stream<RelayEndpoint> notAsked(String failureDomain) {
        return endpoints.all().stream()
                .filter(endpoint -> endpoint.identity().failureDomain().equals(failureDomain) && !asks(endpoint));
    }

    private void markReachable(RelayEndpoint endpoint) {
        followed.remove(endpoint.key());
        endpoint.markReachable();
        String domain = endpoint.identity().failureDomain();
        if (cutOff.remove(domain)) {
            notAsked(domain).forEach(RelayEndpoint::markReachable);
        }
        LogEvent.info("endpoint-answers-again").with("endpoint", endpoint.id()).to(LOG);
    }

    private void askDomain(String failureDomain) {
        long nowMs = clock.nowMs();
        if (nowMs - domainAskedAtMs.getOrDefault(failureDomain, Long.MIN_VALUE / 2) < DOMAIN_AGAIN_MS) {
            return;
        }
        domainAskedAtMs.put(failureDomain, nowMs);
        List<RelayEndpoint> others = endpoints.all().stream()
                .filter(endpoint -> endpoint.identity().failureDomain().equals(failureDomain))
                .filter(endpoint -> endpoint.usable() && asks(endpoint))
                .toList();
        DomainQuestions questions = new DomainQuestions();
        questions.open = others.size();
        for (RelayEndpoint other : others) {
            boolean asked = reports.query(
                    other,
                    Purpose.SILENT_DOMAIN,
                    report -> {
                        questions.answered++;
                        ended(failureDomain, questions);
                    },
                    () -> {
                        other.recordNoAnswer("silent like another endpoint of its failure domain");
                        questions.silent++;
                        ended(failureDomain, questions);
                    });
            if (!asked) {
                ended(failureDomain, questions);
            }
        }
    }

    /** Endpoints that can't be asked are avoided as well from when none of those asked answers until one does. */
    private void ended(String failureDomain, DomainQuestions questions) {
        questions.open--;
        boolean allSilent = questions.open == 0 && questions.answered == 0 && questions.silent >= CUT_OFF_FROM;
        if (allSilent && cutOff.add(failureDomain)) {
            LogEvent.warn("failure-domain-silent")
                    .with("domain", failureDomain)
                    .with("silent", questions.silent)
                    .to(LOG);
            notAsked(failureDomain).forEach(endpoint -> endpoint.recordNoAnswer("its failure domain is silent"));
        }
    }
}
