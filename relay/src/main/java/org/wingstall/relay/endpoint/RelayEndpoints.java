package org.wingstall.relay.endpoint;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.platform.Member;

/**
 * The endpoints of all services; read on any thread, an immutable map is swapped with each list.
 *
 * <p>An endpoint that the list lacks right after the platform was away is kept for a while, since entries lapse meanwhile and
 * come back; one that is still missing then is gone.
 *
 * <p>{@code endpoints.applyList(list); endpoints.ofService("pay-ledger")}
 *
 * @since 0.2
 */
public final class RelayEndpoints {
    private static final Logger LOG = LogManager.getLogger(RelayEndpoints.class);

    /** Time after an outage within which lapsed entries come back, in ms; the platform's own figure is about two seconds. */
    private static final long RETURN_MS = 2300;

    private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;

    private final MonotonicClock clock;
    private final Set<Incarnation> leaving = ConcurrentHashMap.newKeySet();
    private volatile Map<String, RelayEndpoint> byId = Map.of();
    private volatile Map<String, List<RelayEndpoint>> byService = Map.of();
    private volatile Set<String> evacuated = Set.of();
    private volatile Map<InetSocketAddress, RelayEndpoint> byAddress = Map.of();
    private volatile long readAtMs = Long.MIN_VALUE;
    private volatile Consumer<RelayEndpoint> silenceListener = endpoint -> {};
    private final Set<String> lapsedIds = new HashSet<>();
    private boolean away;
    private long backAtMs = Long.MIN_VALUE / 2;

    /** One incarnation of an endpoint: it may start again under the identifier that it had, and knows nothing of before. */
    private record Incarnation(String id, long number) {
        static Incarnation of(RelayEndpoint endpoint) {
            return new Incarnation(endpoint.id(), endpoint.identity().incarnation());
        }
    }

    /**
     * Creates a table without endpoints.
     *
     * @param clock clock of ages
     */
    public RelayEndpoints(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Says who is told, on the thread of the call, of each endpoint that gave no answer. */
    public void setSilenceListener(Consumer<RelayEndpoint> listener) {
        silenceListener = listener;
    }

    /** Returns whether a list has been read. */
    public boolean listLoaded() {
        return readAtMs != Long.MIN_VALUE;
    }

    /** Returns the time since the list was read or found unchanged, in ms. */
    public long ageMs() {
        return listLoaded() ? clock.nowMs() - readAtMs : -1;
    }

    /**
     * Keeps new work from the endpoints of some failure domains; those of all others get it.
     *
     * @param failureDomains the evacuated failure domains
     */
    public synchronized void evacuate(Set<String> failureDomains) {
        // While its domain was evacuated an endpoint may have turned cold, and nobody was told.
        byId.values().stream()
                .filter(endpoint -> evacuated.contains(endpoint.identity().failureDomain()))
                .filter(endpoint -> !failureDomains.contains(endpoint.identity().failureDomain()))
                .forEach(RelayEndpoint::assumeRestarted);
        evacuated = Set.copyOf(failureDomains);
        publish(byId);
    }

    /** Returns the evacuated failure domains. */
    public Set<String> evacuated() {
        return evacuated;
    }

    /** Returns the endpoints of a service that are not in an evacuated failure domain; an immutable list. */
    public List<RelayEndpoint> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the failure domain of the endpoint at an address; empty when none is known there. */
    public String domainAt(InetSocketAddress address) {
        return findByAddress(address)
                .map(endpoint -> endpoint.identity().failureDomain())
                .orElse("");
    }

    /** Returns the endpoint at an address. */
    public Optional<RelayEndpoint> findByAddress(InetSocketAddress address) {
        return Optional.ofNullable(byAddress.get(address));
    }

    /** Returns an endpoint by its identifier. */
    public Optional<RelayEndpoint> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns all endpoints. */
    public Collection<RelayEndpoint> all() {
        return byId.values();
    }

    /** Records that the list could not be read. */
    public synchronized void markListUnavailable() {
        away = true;
    }

    /**
     * Takes in a list.
     *
     * @param members the whole list
     * @return whether endpoints came, went or began to leave
     */
    public synchronized boolean applyList(List<Member> members) {
        long nowMs = clock.nowMs();
        boolean back = away;
        if (back) {
            away = false;
            backAtMs = nowMs;
        }
        Set<Incarnation> servingBefore = serving();
        boolean first = !listLoaded();
        Map<String, RelayEndpoint> next = new HashMap<>();
        for (Member member : members) {
            next.put(member.getMemberId(), endpointOf(member));
        }
        keepLapsed(next, back, nowMs);
        byId.values().stream()
                .filter(before -> next.get(before.id()) != before)
                .forEach(before -> replaced(before, next));
        publish(next);
        if (first) {
            LogEvent.info("endpoints-known").with("count", next.size()).to(LOG);
        }
        readAtMs = nowMs;
        return first || !servingBefore.equals(serving());
    }

    /** Keeps endpoints that were missing from the first list after an outage; one that goes later has ended or leaves. */
    private void keepLapsed(Map<String, RelayEndpoint> next, boolean back, long nowMs) {
        if (back) {
            lapsedIds.addAll(byId.keySet());
        }
        lapsedIds.removeAll(next.keySet());
        lapsedIds.retainAll(byId.keySet());
        if (nowMs - backAtMs >= RETURN_MS) {
            lapsedIds.clear();
        }
        lapsedIds.forEach(id -> next.put(id, byId.get(id)));
    }

    private void silent(RelayEndpoint endpoint) {
        silenceListener.accept(endpoint);
    }

    private Set<Incarnation> serving() {
        return byId.values().stream()
                .filter(endpoint -> !endpoint.state().leaving())
                .map(Incarnation::of)
                .collect(Collectors.toSet());
    }

    /** Records that the list is as a box has just read it. */
    public void markListCurrent() {
        if (listLoaded()) {
            readAtMs = clock.nowMs();
        }
    }

    /** Ends what was known of an endpoint that has gone, or that stands under the same identifier anew. */
    private void replaced(RelayEndpoint endpoint, Map<String, RelayEndpoint> next) {
        endpoint.state().markLeaving();
        leaving.remove(Incarnation.of(endpoint));
        LogEvent.info(next.containsKey(endpoint.id()) ? "endpoint-replaced" : "endpoint-gone")
                .with("endpoint", endpoint.id())
                .with("service", endpoint.identity().service())
                .to(LOG);
    }

    /** Marks an endpoint as leaving by what it said itself; a list that lags does not undo it. */
    public void markLeaving(RelayEndpoint endpoint, String why) {
        if (!endpoint.state().leaving()) {
            leaving.add(Incarnation.of(endpoint));
            endpoint.state().markLeaving();
            LogEvent.info("endpoint-leaving")
                    .with("endpoint", endpoint.id())
                    .with("service", endpoint.identity().service())
                    .with("why", why)
                    .to(LOG);
        }
    }

    /** An entry that an earlier incarnation of an endpoint wrote late says nothing of the one that runs now. */
    private RelayEndpoint endpointOf(Member member) {
        RelayEndpoint before = byId.get(member.getMemberId());
        EndpointIdentity identity = EndpointIdentity.of(member);
        boolean older =
                before != null && identity.incarnation() < before.identity().incarnation();
        if (older) {
            return before;
        }
        boolean same = before != null && before.identity().equals(identity);
        EndpointState state = same ? before.state() : new EndpointState(identity, clock);
        RelayEndpoint endpoint = same ? before : newEndpoint(state, member);
        endpoint.updateColdUntil(member.getColdMs());
        if (member.getState() == Member.State.LEAVING) {
            markLeaving(endpoint, "list");
        }
        if (leaving.contains(Incarnation.of(endpoint))) {
            state.markLeaving();
        }
        if (before == null && listLoaded()) {
            LogEvent.info("endpoint-listed")
                    .with("endpoint", endpoint.id())
                    .with("service", endpoint.identity().service())
                    .with("address", endpoint.identity().address())
                    .to(LOG);
        }
        return endpoint;
    }

    /** Endpoints of the first list were there before, and their entries tell whether they are cold. */
    private RelayEndpoint newEndpoint(EndpointState state, Member member) {
        long startedAtMs = listLoaded() ? clock.nowMs() : LONG_AGO_MS;
        return new RelayEndpoint(state, member.getSlots(), clock, this::silent, startedAtMs);
    }

    private void publish(Map<String, RelayEndpoint> next) {
        Map<String, List<RelayEndpoint>> services = new HashMap<>();
        for (RelayEndpoint endpoint : next.values()) {
            if (evacuated.contains(endpoint.identity().failureDomain())) {
                continue;
            }
            services.computeIfAbsent(endpoint.identity().service(), service -> new ArrayList<>())
                    .add(endpoint);
        }
        services.replaceAll((service, list) -> List.copyOf(list));
        Map<InetSocketAddress, RelayEndpoint> addresses = new HashMap<>();
        next.values().forEach(endpoint -> addresses.put(endpoint.identity().address(), endpoint));
        byAddress = Map.copyOf(addresses);
        byId = Map.copyOf(next);
        byService = Map.copyOf(services);
    }
}
