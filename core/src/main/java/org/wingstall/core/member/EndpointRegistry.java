package org.wingstall.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.platform.Member;

/**
 * The endpoints of all services, joined from the membership list, the endpoints' own answers and peers' hints.
 *
 * <p>An incarnation that was once said to be leaving stays so, whatever a list that lags says later.
 *
 * <p>{@code List<EndpointState> engines = registry.endpointsOf("wingstall-llm");}
 *
 * @since 0.1
 */
public final class EndpointRegistry {
    private final MonotonicClock clock;
    private final Map<String, Long> leavingIncarnations = new ConcurrentHashMap<>();
    private volatile Map<String, EndpointState> byMember = Map.of();
    private volatile Map<String, List<EndpointState>> byService = Map.of();
    private volatile boolean memberListSeen;

    /**
     * Creates a registry without endpoints.
     *
     * @param clock clock of the endpoints' states
     */
    public EndpointRegistry(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns whether a membership list has been seen. */
    public boolean hasMemberList() {
        return memberListSeen;
    }

    /** Returns the endpoints of a service; an immutable list. */
    public List<EndpointState> endpointsOf(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns all endpoints. */
    public Collection<EndpointState> all() {
        return byMember.values();
    }

    /**
     * Takes in a membership list.
     *
     * @param members members of all kinds
     * @return endpoints that were known and serving, and are leaving by this list
     */
    public synchronized List<EndpointState> applyList(List<Member> members) {
        Map<String, EndpointState> next = new HashMap<>();
        List<EndpointState> staying =
                all().stream().filter(endpoint -> !endpoint.leaving()).toList();
        for (Member member : members) {
            if (member.getKind() == Member.Kind.ENDPOINT) {
                next.put(member.getMemberId(), stateOf(member));
            }
        }
        leavingIncarnations.keySet().removeIf(id -> byMember.containsKey(id) && !next.containsKey(id));
        publish(next);
        memberListSeen = true;
        return staying.stream().filter(EndpointState::leaving).toList();
    }

    /**
     * Records that an endpoint is leaving.
     *
     * @param memberId the endpoint
     * @param incarnation its incarnation
     * @return whether that was news
     */
    public synchronized boolean markLeaving(String memberId, long incarnation) {
        Long previous = leavingIncarnations.get(memberId);
        if (previous != null && previous >= incarnation) {
            return false;
        }
        leavingIncarnations.put(memberId, incarnation);
        EndpointState state = byMember.get(memberId);
        if (state != null && state.identity().incarnation() <= incarnation) {
            state.markLeaving();
        }
        return true;
    }

    private EndpointState stateOf(Member member) {
        EndpointState previous = byMember.get(member.getMemberId());
        boolean same = previous != null && previous.identity().incarnation() == member.getIncarnation();
        boolean older = previous != null && previous.identity().incarnation() > member.getIncarnation();
        EndpointState state = same || older ? previous : new EndpointState(EndpointIdentity.of(member), clock);
        long incarnation = state.identity().incarnation();
        if (!older && member.getState() == Member.State.LEAVING) {
            leavingIncarnations.merge(member.getMemberId(), incarnation, Math::max);
        }
        if (leavingIncarnations.getOrDefault(member.getMemberId(), -1L) >= incarnation) {
            state.markLeaving();
        }
        return state;
    }

    private void publish(Map<String, EndpointState> next) {
        Map<String, List<EndpointState>> services = new HashMap<>();
        for (EndpointState state : next.values()) {
            services.computeIfAbsent(state.identity().service(), service -> new ArrayList<>())
                    .add(state);
        }
        services.replaceAll((service, states) -> List.copyOf(states));
        byMember = Map.copyOf(next);
        byService = Map.copyOf(services);
    }
}
