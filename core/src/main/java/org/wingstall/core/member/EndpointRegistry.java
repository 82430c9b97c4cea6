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
 * Tracks the endpoints of all services, combining the membership list with leaving notices from endpoints and peers.
 *
 * <p>An incarnation that was once marked as leaving stays so, even if a stale list later shows it as live.
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
     * Creates an empty registry.
     *
     * @param clock clock passed to the endpoint states
     */
    public EndpointRegistry(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns whether a membership list has been received. */
    public boolean hasMemberList() {
        return memberListSeen;
    }

    /** Returns the endpoints of a service as an immutable list. */
    public List<EndpointState> endpointsOf(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns all endpoints. */
    public Collection<EndpointState> all() {
        return byMember.values();
    }

    /**
     * Applies a membership list.
     *
     * @param members members of all kinds
     * @return endpoints that were not leaving before and are marked as leaving by this list
     */
    public synchronized List<EndpointState> applyList(List<Member> members) {
        Map<String, EndpointState> next = new HashMap<>();
        List<EndpointState> notLeaving =
                all().stream().filter(endpoint -> !endpoint.leaving()).toList();
        for (Member member : members) {
            if (member.getKind() == Member.Kind.ENDPOINT) {
                next.put(member.getMemberId(), stateOf(member));
            }
        }
        leavingIncarnations.keySet().removeIf(id -> byMember.containsKey(id) && !next.containsKey(id));
        publish(next);
        memberListSeen = true;
        return notLeaving.stream().filter(EndpointState::leaving).toList();
    }

    /**
     * Marks an endpoint as leaving.
     *
     * @param memberId identifier of the endpoint in the membership list
     * @param incarnation incarnation of the endpoint that is leaving
     * @return whether this was not yet known
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
        boolean sameIncarnation = previous != null && previous.identity().incarnation() == member.getIncarnation();
        boolean staleIncarnation = previous != null && previous.identity().incarnation() > member.getIncarnation();
        EndpointState state =
                sameIncarnation || staleIncarnation ? previous : new EndpointState(EndpointIdentity.of(member), clock);
        long incarnation = state.identity().incarnation();
        if (!staleIncarnation && member.getState() == Member.State.LEAVING) {
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
